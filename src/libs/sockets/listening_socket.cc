#include "sockets/listening_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "sockets/tcp_options.h"

namespace chestnutport::sockets {
namespace {

constexpr int kBacklog = 1024;

}  // namespace

base::Result<ListeningSocket> ListeningSocket::Open(
    const base::SocketAddress& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return std::error_code(errno, std::system_category());
  ListeningSocket opened(fd, address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  SetTcpOptions(fd, TcpOptions{});
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(address.ip);
  raw.sin_port = htons(address.port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) != 0 ||
      listen(fd, kBacklog) != 0) {
    return std::error_code(errno, std::system_category());
  }
  socklen_t size = sizeof(raw);
  getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
  opened.address_.port = ntohs(raw.sin_port);
  return opened;
}

ListeningSocket::ListeningSocket(int fd, const base::SocketAddress& address)
    : fd_(fd), address_(address) {}

ListeningSocket::ListeningSocket(ListeningSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), address_(other.address_) {}

ListeningSocket& ListeningSocket::operator=(ListeningSocket&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(address_, other.address_);
  return *this;
}

ListeningSocket::~ListeningSocket() {
  Close();
}

void ListeningSocket::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

}  // namespace chestnutport::sockets
