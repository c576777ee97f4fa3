#include "sockets/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chestnutport::sockets {
namespace {

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

void SetTcpOptions(int fd, const TcpOptions& options) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(options.keepalive_idle.count()));
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(options.keepalive_interval.count()));
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(options.unacknowledged.count()));
  SetOption(fd, SOL_SOCKET, SO_RCVBUF, options.buffer_size);
  SetOption(fd, SOL_SOCKET, SO_SNDBUF, options.buffer_size);
}

}  // namespace chestnutport::sockets
