#include "support/raw_socket.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace chestnutport::test {
namespace {

constexpr timeval kIoTimeout{.tv_sec = 10, .tv_usec = 0};

}  // namespace

RawSocket::RawSocket(int fd) : fd_(fd) {
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &kIoTimeout, sizeof(kIoTimeout));
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &kIoTimeout, sizeof(kIoTimeout));
}

RawSocket::RawSocket(const base::SocketAddress& to)
    : RawSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in native_address{};
  native_address.sin_family = AF_INET;
  native_address.sin_addr.s_addr = htonl(to.ip);
  native_address.sin_port = htons(to.port);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&native_address),
              sizeof(native_address)) != 0)
    Close();
}

RawSocket::RawSocket(RawSocket&& other) noexcept
    : fd_(other.fd_.exchange(-1)), buffer_(std::move(other.buffer_)) {}

RawSocket::~RawSocket() {
  Close();
}

bool RawSocket::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool RawSocket::ReadMore() {
  char buffer[16 * 1024];
  const ssize_t size = recv(fd_, buffer, sizeof(buffer), 0);
  if (size > 0)
    buffer_.append(buffer, static_cast<size_t>(size));
  return size > 0;
}

std::string RawSocket::ReadUntil(std::string_view delimiter) {
  size_t at = std::string::npos;
  while ((at = buffer_.find(delimiter)) == std::string::npos) {
    if (!ReadMore())
      return std::exchange(buffer_, "");
  }
  return ReadSome(at + delimiter.size());
}

std::string RawSocket::ReadMessage() {
  std::string message = ReadUntil("\r\n\r\n");
  const size_t at = message.find("Content-Length: ");
  if (at == std::string::npos)
    return message;
  const size_t length = std::strtoul(message.c_str() + at + 16, nullptr, 10);
  while (buffer_.size() < length && ReadMore()) {
  }
  return message + ReadSome(length);
}

std::string RawSocket::ReadToEnd() {
  while (ReadMore()) {
  }
  return std::exchange(buffer_, "");
}

std::string RawSocket::ReadSome(size_t size) {
  if (buffer_.empty() && size > 0)
    ReadMore();
  std::string taken = buffer_.substr(0, size);
  buffer_.erase(0, taken.size());
  return taken;
}

void RawSocket::CloseWriting() const {
  shutdown(fd_, SHUT_WR);
}

void RawSocket::Reset() {
  const linger abort_on_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort_on_close,
             sizeof(abort_on_close));
  Close();
}

void RawSocket::Close() {
  if (const int fd = fd_.exchange(-1); fd >= 0)
    close(fd);
}

void RawSocket::GoSilent() const {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{.len = 1, .filter = &drop_all};
  setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

}  // namespace chestnutport::test
