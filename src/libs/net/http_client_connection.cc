#include "net/http_client_connection.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <limits>
#include <utility>

#include "base/text.h"
#include "net/http_transfer.h"
#include "net/tcp_options.h"

namespace chestnutport::net {
namespace {

constexpr size_t kReadSize = 16 * 1024;
constexpr int kReadsInRound = 8;
constexpr uint32_t kLargestHead = 64 * 1024;  // Bytes, of an answer.
constexpr unsigned kFirstFinalStatus = 200;
// Of the time for which the other end says that it keeps a connection, what is
// relied on: it counts from when it sent, and its clock may round down.
constexpr double kKeptShare = 0.8;

// The time a kept connection may stay idle, by its Keep-Alive header.
std::optional<base::Duration> KeptFor(const HttpHeaders& headers) {
  for (const auto part : base::Split(FindHeader(headers, "Keep-Alive"), ',')) {
    std::string_view word = base::Trim(part);
    constexpr std::string_view kTimeout = "timeout=";
    if (!word.starts_with(kTimeout))
      continue;
    word.remove_prefix(kTimeout.size());
    int64_t seconds = 0;
    if (base::ParseNumber(word, &seconds) && seconds >= 0) {
      return std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(static_cast<double>(seconds) *
                                        kKeptShare));
    }
  }
  return std::nullopt;
}

}  // namespace

HttpClientConnection::HttpClientConnection(HttpClient& client,
                                           const base::SocketAddress& to)
    : client_(client), to_(to) {}

HttpClientConnection::~HttpClientConnection() {
  Close();
}

bool HttpClientConnection::Open() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd_ < 0)
    return false;
  SetTcpOptions(fd_, client_.options().tcp);
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(to_.ip);
  raw.sin_port = htons(to_.port);
  const int result =
      connect(fd_, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  if (result != 0 && errno != EINPROGRESS)
    return false;
  connecting_ = result != 0;
  Watch();
  return true;
}

bool HttpClientConnection::IsUsable(base::Instant now) const {
  if (closed_ || now >= usable_until_)
    return false;
  // What the loop has not seen yet: an end, or bytes that belong to nothing.
  char next = 0;
  const ssize_t size = recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::Begin(HttpTransfer& transfer) {
  transfer_ = &transfer;
  transfer.connection = this;
  sent_ = 0;
  parser_.reset();
  if (!connecting_)
    Write();
  Watch();
}

void HttpClientConnection::Watch() {
  if (closed_)
    return;
  uint32_t events = EPOLLRDHUP;
  if (!transfer_ || !transfer_->is_paused)
    events |= EPOLLIN;
  if (connecting_ || (transfer_ && sent_ < transfer_->bytes.size()))
    events |= EPOLLOUT;
  if (transfer_ && transfer_->is_paused)
    events &= ~static_cast<uint32_t>(EPOLLRDHUP);
  if (std::exchange(watched_, events) == events)
    return;
  client_.loop().Watch(fd_, events, [this](uint32_t ready) { OnReady(ready); });
}

void HttpClientConnection::OnReady(uint32_t epoll_events) {
  if (closed_)
    return;
  if (connecting_) {
    OnConnected();
    return;
  }
  if (transfer_ && transfer_->is_paused) {
    // Nothing is read meanwhile, so only a reset can be reported.
    OnEnd(false);
    return;
  }
  if (epoll_events & EPOLLOUT)
    Write();
  if (!closed_ && (epoll_events & ~static_cast<uint32_t>(EPOLLOUT)))
    Read();
  Watch();
}

void HttpClientConnection::OnConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    if (transfer_)
      transfer_->is_refused = error == ECONNREFUSED;
    Fail(TransferEnd::kNotSent);
    return;
  }
  connecting_ = false;
  if (!transfer_) {
    client_.OnIdle(*this);
    Watch();
    return;
  }
  // The process may have been stopped since the transfer began.
  if (base::Clock::now() >= transfer_->deadline) {
    Fail(TransferEnd::kNotSent);
    return;
  }
  client_.OnConnected(*this);
  Write();
  Watch();
}

void HttpClientConnection::Write() {
  while (transfer_ && sent_ < transfer_->bytes.size()) {
    const ssize_t size = send(fd_, transfer_->bytes.data() + sent_,
                              transfer_->bytes.size() - sent_, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR)
      continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (size < 0) {
      // An answer that came before the end is still to be read.
      Read();
      if (!closed_ && transfer_)
        OnEnd(false);
      return;
    }
    sent_ += static_cast<size_t>(size);
  }
}

void HttpClientConnection::Read() {
  std::array<char, kReadSize> bytes;
  // What is left is read in the next round, after others had their turn.
  for (int reads = 0; reads < kReadsInRound; ++reads) {
    if (closed_ || (transfer_ && transfer_->is_paused))
      return;
    const ssize_t size = recv(fd_, bytes.data(), bytes.size(), 0);
    if (size < 0 && errno == EINTR)
      continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (size <= 0) {
      OnEnd(size == 0);
      return;
    }
    if (!transfer_) {
      // Nothing was asked: such bytes belong to no request.
      Fail(TransferEnd::kLost);
      return;
    }
    in_.append(bytes.data(), static_cast<size_t>(size));
    while (Parse()) {
    }
    if (static_cast<size_t>(size) < bytes.size())
      return;
  }
}

void HttpClientConnection::Resume() {
  if (closed_ || !transfer_)
    return;
  if (HandOn()) {
    while (Parse()) {
    }
  }
  if (!closed_)
    Read();
  Watch();
}

bool HttpClientConnection::Parse() {
  if (closed_ || !transfer_ || transfer_->is_paused)
    return false;
  if (!parser_) {
    if (in_.empty())
      return false;
    parser_.emplace();
    parser_->header_limit(kLargestHead);
    parser_->body_limit(std::numeric_limits<uint64_t>::max());
    parser_->eager(false);
    parser_->skip(transfer_->is_head);
    head_done_ = false;
    skips_answer_ = false;
  }
  return head_done_ ? ParseBody() : ParseHead();
}

// Gives the parser what was read; false if it wants more, or failed.
bool HttpClientConnection::Feed() {
  if (in_.empty())
    return false;
  boost::system::error_code error;
  const bool goes_on = FeedParser(*parser_, in_, error);
  if (error)
    Fail(TransferEnd::kLost);
  return goes_on;
}

bool HttpClientConnection::ParseHead() {
  if (!Feed())
    return false;
  if (!parser_->is_header_done())
    return true;
  head_done_ = true;
  parser_->eager(true);
  const unsigned status = parser_->get().result_int();
  HttpAnswer head{.status = static_cast<int>(status),
                  .headers = ToHeaders(parser_->get().base()),
                  .body = ""};
  const std::string_view tag =
      client_.options().answer_tag.empty()
          ? std::string_view()
          : FindHeader(head.headers, client_.options().answer_tag);
  const bool is_interim = status < kFirstFinalStatus;
  const bool is_others = !tag.empty() && tag != transfer_->tag;
  skips_answer_ = is_interim || is_others;
  if (skips_answer_) {
    client_.CountSkipped(is_others);
  } else {
    transfer_->answer = std::move(head);
    if (const auto kept = KeptFor(transfer_->answer.headers))
      usable_until_ = client_.loop().now() + *kept;
    HttpTransfer& transfer = *transfer_;
    if (transfer.on_head)
      transfer.is_streamed = transfer.on_head(transfer.answer);
    if (closed_ || transfer_ != &transfer)
      return false;
  }
  if (parser_->is_done()) {
    OnAnswerWhole();
    return !closed_;
  }
  return true;
}

bool HttpClientConnection::ParseBody() {
  const bool more = Feed();
  if (closed_ || !HandOn())
    return false;
  if (!parser_->is_done())
    return more;
  OnAnswerWhole();
  return !closed_;
}

bool HttpClientConnection::HandOn() {
  if (!transfer_->held_part.empty())
    return TakePart(std::exchange(transfer_->held_part, {}));
  transfer_->is_paused = false;
  if (!parser_)
    return true;
  std::string part = std::exchange(parser_->get().body(), {});
  if (part.empty() || skips_answer_)
    return true;
  return TakePart(std::move(part));
}

bool HttpClientConnection::TakePart(std::string part) {
  HttpTransfer& transfer = *transfer_;
  if (!transfer.is_streamed) {
    if (transfer.answer.body.size() + part.size() >
        client_.options().largest_answer) {
      Fail(TransferEnd::kLost);
      return false;
    }
    if (transfer.answer.body.empty())
      transfer.answer.body = std::move(part);
    else
      transfer.answer.body.append(part);
    return true;
  }
  const bool taken = transfer.on_body(part);
  if (closed_ || transfer_ != &transfer)
    return false;
  transfer.is_paused = !taken;
  if (!taken) {
    transfer.held_part = std::move(part);
    Watch();
    return false;
  }
  // It may have paused in the middle of the last part of an answer.
  if (parser_ && parser_->is_done() && parser_->get().body().empty()) {
    OnAnswerWhole();
    return false;
  }
  return true;
}

void HttpClientConnection::OnAnswerWhole() {
  const bool keeps =
      parser_->keep_alive() && parser_->get().result_int() >= kFirstFinalStatus;
  const bool skipped = std::exchange(skips_answer_, false);
  const bool is_interim = parser_->get().result_int() < kFirstFinalStatus;
  parser_.reset();
  head_done_ = false;
  if (skipped) {
    // The connection ends with another request's answer: ours never comes.
    if (!keeps && !is_interim)
      Fail(TransferEnd::kLost);
    return;
  }
  const bool is_clean = sent_ == transfer_->bytes.size() && in_.empty();
  HttpTransfer& done = *std::exchange(transfer_, nullptr);
  done.connection = nullptr;
  if (keeps && is_clean)
    client_.OnIdle(*this);
  else
    client_.Retire(*this);
  client_.Finish(done, TransferEnd::kComplete);
}

void HttpClientConnection::OnEnd(bool orderly) {
  if (orderly && transfer_ && parser_ && head_done_ && !skips_answer_) {
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      if (!HandOn())
        return;
      if (closed_ || !transfer_)
        return;
      in_.clear();
      OnAnswerWhole();
      return;
    }
  }
  Fail(sent_ > 0 ? TransferEnd::kLost : TransferEnd::kNotSent);
}

void HttpClientConnection::Fail(TransferEnd end) {
  HttpTransfer* failed = std::exchange(transfer_, nullptr);
  client_.Retire(*this);
  if (!failed)
    return;
  failed->connection = nullptr;
  client_.Finish(*failed, end);
}

void HttpClientConnection::Close() {
  if (std::exchange(closed_, true))
    return;
  if (fd_ < 0)
    return;
  client_.loop().Unwatch(fd_);
  close(std::exchange(fd_, -1));
}

}  // namespace chestnutport::net
