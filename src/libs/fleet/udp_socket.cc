#include "fleet/udp_socket.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "net/event_loop.h"

namespace chestnutport::fleet {
namespace {

// Datagrams beyond this number wait for the next iteration of the loop, so that
// a flood does not starve its other work.
constexpr int kDatagramsPerRound = 256;

sockaddr_in ToRaw(const base::SocketAddress& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(address.ip);
  raw.sin_port = htons(address.port);
  return raw;
}

}  // namespace

base::Result<std::unique_ptr<UdpSocket>> UdpSocket::Open(
    net::EventLoop& loop,
    const base::SocketAddress& address,
    Handler handler) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return std::error_code(errno, std::system_category());
  std::unique_ptr<UdpSocket> opened(new UdpSocket(loop, fd, address));
  sockaddr_in raw = ToRaw(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) != 0)
    return std::error_code(errno, std::system_category());
  socklen_t size = sizeof(raw);
  getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
  opened->address_.port = ntohs(raw.sin_port);
  opened->handler_ = std::move(handler);
  loop.Watch(fd, EPOLLIN,
             [socket = opened.get()](uint32_t) { socket->ReceiveAll(); });
  return opened;
}

UdpSocket::UdpSocket(net::EventLoop& loop,
                     int fd,
                     const base::SocketAddress& address)
    : loop_(loop), fd_(fd), address_(address) {}

UdpSocket::~UdpSocket() {
  loop_.Unwatch(fd_);
  close(fd_);
}

void UdpSocket::Send(const base::SocketAddress& to, std::string_view datagram) {
  const sockaddr_in raw = ToRaw(to);
  sendto(fd_, datagram.data(), datagram.size(), 0,
         reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
}

void UdpSocket::ReceiveAll() {
  char buffer[kMaxDatagramSize + 1];
  for (int i = 0; i < kDatagramsPerRound; ++i) {
    sockaddr_in raw{};
    socklen_t size = sizeof(raw);
    const ssize_t received = recvfrom(fd_, buffer, sizeof(buffer), 0,
                                      reinterpret_cast<sockaddr*>(&raw), &size);
    if (received < 0)
      return;
    if (static_cast<size_t>(received) > kMaxDatagramSize)
      continue;
    const base::SocketAddress from{ntohl(raw.sin_addr.s_addr),
                                   ntohs(raw.sin_port)};
    handler_(from, std::string_view(buffer, static_cast<size_t>(received)));
  }
}

}  // namespace chestnutport::fleet
