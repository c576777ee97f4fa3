#include "support/raw_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <utility>

namespace chestnutport::test {

RawServer::RawServer(Script script)
    : script_(std::move(script)),
      socket_(sockets::ListeningSocket::Open(
                  *base::SocketAddress::Parse("127.0.0.1:0"))
                  .value()),
      accept_thread_([this] { AcceptAll(); }) {}

RawServer::~RawServer() {
  shutdown(socket_.fd(), SHUT_RDWR);
  accept_thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (RawSocket& connection : connections_)
      shutdown(connection.fd(), SHUT_RDWR);
  }
  for (std::thread& thread : threads_)
    thread.join();
}

void RawServer::AcceptAll() {
  int number = 0;
  while (true) {
    pollfd item{socket_.fd(), POLLIN, 0};
    poll(&item, 1, -1);
    const int fd = accept4(socket_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const std::lock_guard lock(mutex_);
    RawSocket& connection = connections_.emplace_back(fd);
    threads_.emplace_back([this, &connection, number = ++number] {
      script_(connection, number);
      const std::lock_guard closing(mutex_);
      connection.Close();
    });
  }
}

}  // namespace chestnutport::test
