#include "http_client/http_client_connection.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "http_client/http_transfer.h"
#include "sockets/tcp_options.h"

namespace chestnutport::http_client {
namespace {

constexpr size_t kReadSize = 16 * 1024;
constexpr int kReadsInRound = 8;
constexpr int kWritesInRound = 8;
constexpr size_t kMaxPieces = 16;  // Of a request, in one write.
constexpr size_t kWriteSize = 64 * 1024;

// Writes the first bytes of `bytes`, as send() does.
ssize_t SendFront(int fd, const absl::Cord& bytes) {
  std::array<iovec, kMaxPieces> pieces;
  size_t count = 0;
  size_t size = 0;
  for (const absl::string_view chunk : bytes.Chunks()) {
    if (count == pieces.size() || size >= kWriteSize)
      break;
    const size_t part = std::min(chunk.size(), kWriteSize - size);
    pieces[count++] = {const_cast<char*>(chunk.data()), part};
    size += part;
  }
  msghdr message{};
  message.msg_iov = pieces.data();
  message.msg_iovlen = count;
  return sendmsg(fd, &message, MSG_NOSIGNAL);
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
  sockets::SetTcpOptions(fd_, client_.options().tcp);
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

bool HttpClientConnection::IsRequestSent() const {
  return transfer_ && transfer_->unsent.empty() && transfer_->unread_body == 0;
}

void HttpClientConnection::Begin(HttpTransfer& transfer) {
  transfer_ = &transfer;
  transfer.connection = this;
  parser_.reset();
  // A failure is reported in the next round of the loop: the transfer does not
  // end while it begins.
  if (!connecting_)
    TryWrite();
  Watch();
}

void HttpClientConnection::Watch() {
  if (closed_)
    return;
  uint32_t events = EPOLLRDHUP;
  if (!transfer_ || !transfer_->is_paused)
    events |= EPOLLIN;
  if (connecting_ || (transfer_ && !transfer_->unsent.empty()))
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
  if (TryWrite())
    return;
  // An answer that came before the end is still to be read.
  Read();
  if (!closed_ && transfer_)
    OnEnd(false);
}

bool HttpClientConnection::TryWrite() {
  // What is left is written in the next round, after others had their turn.
  for (int writes = 0; writes < kWritesInRound; ++writes) {
    if (!transfer_ || transfer_->unsent.empty())
      break;
    const ssize_t size = SendFront(fd_, transfer_->unsent);
    if (size < 0 && errno == EINTR)
      continue;
    if (size < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK;
    // Bytes that were written are needed no more: no request is written twice.
    transfer_->unsent.RemovePrefix(static_cast<size_t>(size));
    transfer_->sent += static_cast<size_t>(size);
  }
  if (transfer_ && transfer_->unread_body > 0 && transfer_->unsent.empty() &&
      transfer_->on_body_room) {
    transfer_->on_body_room();
  }
  return true;
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
  const bool is_sent = transfer_ && transfer_->sent > 0;
  Fail(is_sent ? TransferEnd::kLost : TransferEnd::kNotSent);
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

}  // namespace chestnutport::http_client
