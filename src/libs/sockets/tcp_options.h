// How a TCP connection finds out that its other end is gone, and what memory it
// takes.
#ifndef SOCKETS_TCP_OPTIONS_H_
#define SOCKETS_TCP_OPTIONS_H_

#include <chrono>

namespace chestnutport::sockets {

struct TcpOptions {
  // Bytes that the other end does not acknowledge for this long end the
  // connection. Also the time after the first unanswered keepalive probe.
  std::chrono::milliseconds unacknowledged{2000};
  // A connection on which nothing came for this long is probed.
  std::chrono::seconds keepalive_idle{5};
  std::chrono::seconds keepalive_interval{1};
  // Bytes that the system buffers in each direction, so that peers that do not
  // read, or are not read, take little memory. Enough for a link of 1 Gbit/s
  // with a round trip of 1 ms.
  int buffer_size = 128 * 1024;
};

// Sets `options` on a socket, and sends small messages at once. On a listening
// socket it holds for every connection accepted from it.
void SetTcpOptions(int fd, const TcpOptions& options);

}  // namespace chestnutport::sockets

#endif  // SOCKETS_TCP_OPTIONS_H_
