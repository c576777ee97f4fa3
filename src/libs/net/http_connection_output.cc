// The answers of a caller's connection on their way to the socket.
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "base/text.h"
#include "net/http_connection.h"
#include "net/http_server.h"

namespace chestnutport::net {
namespace {

// Bytes serialized ahead of the socket: about what a small window takes.
constexpr size_t kOutputSize = 64 * 1024;

}  // namespace

bool HttpConnection::IsCallerSlow() const {
  return out_.size() - out_offset_ >= kOutputSize;
}

void HttpConnection::FlushSoon() {
  if (closed_ || std::exchange(flush_soon_, true))
    return;
  server_.loop().Defer(this, [this] {
    flush_soon_ = false;
    Flush();
  });
}

void HttpConnection::Flush() {
  while (!closed_ && FillOutput()) {
    if (!WriteOutput())
      break;
  }
  if (closed_)
    return;
  CountOutput();
  if (closes_after_out_ && !HasOutput()) {
    CloseGently();
    return;
  }
  if (!in_.empty() && MayParse())
    Parse();
  if (server_.IsQuiescing() && !IsBusy())
    Quiesce();
  Watch();
}

bool HttpConnection::FillOutput() {
  while (!exchanges_.empty() && !closes_after_out_ && !closed_) {
    HttpExchange& front = *exchanges_.front();
    if (front.IsAborted()) {
      // What was taken goes out, and then the connection ends. Where the end
      // of the connection would tell that the answer is whole, it is reset.
      if (!front.IsHeadTaken() && !HasOutput()) {
        Close(false);
        return false;
      }
      if (front.EndsWithConnection()) {
        Close(true);
        return false;
      }
      closes_after_out_ = true;
      break;
    }
    const size_t before = out_.size();
    front.Take(out_, out_offset_ + kOutputSize, IsLastAnswer(front));
    const bool is_taken = front.IsTaken();
    front.RunDrained();
    if (closed_)
      return false;
    if (is_taken) {
      EndFront();
      continue;
    }
    if (out_.size() == before || out_.size() - out_offset_ >= kOutputSize)
      break;
  }
  return HasOutput();
}

bool HttpConnection::IsLastAnswer(const HttpExchange& front) const {
  return front.closes_after() || front.EndsWithConnection() ||
         (server_.IsQuiescing() && exchanges_.size() == 1);
}

void HttpConnection::EndFront() {
  closes_after_out_ = IsLastAnswer(*exchanges_.front());
  const std::unique_ptr<HttpExchange> front = std::move(exchanges_.front());
  exchanges_.pop_front();
  server_.OnExchangesEnded(1);
  if (std::exchange(is_behind_answers_, false))
    close_at_ = server_.loop().now() + server_.limits().to_send_request;
  if (streamed_ == front.get()) {
    streamed_ = nullptr;
    is_answered_ = true;
  }
  last_used_ = server_.loop().now();
  is_used_ = true;
  if (exchanges_.empty() && !request_began_at_)
    close_at_ = server_.loop().now() + server_.limits().idle;
}

bool HttpConnection::WriteOutput() {
  while (HasOutput()) {
    const ssize_t size = send(fd_, out_.data() + out_offset_,
                              out_.size() - out_offset_, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR)
      continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return false;
    if (size < 0) {
      Close(false);
      return false;
    }
    out_offset_ += static_cast<size_t>(size);
  }
  out_.clear();
  base::FreeIfLarge(out_);
  out_offset_ = 0;
  server_.CheckIdleSoon();
  return true;
}

}  // namespace chestnutport::net
