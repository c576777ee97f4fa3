// A bound UDP socket on an event loop.
#ifndef FLEET_UDP_SOCKET_H_
#define FLEET_UDP_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>

#include "base/result.h"
#include "base/socket_address.h"

namespace chestnutport::net {
class EventLoop;
}  // namespace chestnutport::net

namespace chestnutport::fleet {

class UdpSocket {
 public:
  using Handler = std::function<void(const base::SocketAddress& from,
                                     std::string_view datagram)>;

  // Limit in bytes of sent and accepted datagrams; fits an Ethernet frame.
  static constexpr size_t kMaxDatagramSize = 1400;

  // Port zero lets the kernel choose a port. `loop` must outlive the socket.
  static base::Result<std::unique_ptr<UdpSocket>> Open(
      net::EventLoop& loop,
      const base::SocketAddress& address,
      Handler handler);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Best effort: a datagram that cannot be sent at once is dropped.
  void Send(const base::SocketAddress& to, std::string_view datagram);

  const base::SocketAddress& address() const { return address_; }

 private:
  UdpSocket(net::EventLoop& loop, int fd, const base::SocketAddress& address);
  void ReceiveAll();

  net::EventLoop& loop_;
  int fd_;
  base::SocketAddress address_;
  Handler handler_;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_UDP_SOCKET_H_
