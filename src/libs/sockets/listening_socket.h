// A bound, listening TCP socket.
#ifndef SOCKETS_LISTENING_SOCKET_H_
#define SOCKETS_LISTENING_SOCKET_H_

#include "base/result.h"
#include "base/socket_address.h"

namespace chestnutport::sockets {

class ListeningSocket {
 public:
  // Binds and listens. Port zero lets the kernel choose. Several sockets of
  // one process may share an address: the kernel spreads the connections.
  static base::Result<ListeningSocket> Open(const base::SocketAddress& address);

  ListeningSocket(ListeningSocket&& other) noexcept;
  ListeningSocket& operator=(ListeningSocket&& other) noexcept;
  ~ListeningSocket();

  // Later connections are refused; harmless if closed before.
  void Close();

  int fd() const { return fd_; }
  // The real address, with the port that the kernel chose.
  const base::SocketAddress& address() const { return address_; }

 private:
  ListeningSocket(int fd, const base::SocketAddress& address);

  int fd_ = -1;
  base::SocketAddress address_;
};

}  // namespace chestnutport::sockets

#endif  // SOCKETS_LISTENING_SOCKET_H_
