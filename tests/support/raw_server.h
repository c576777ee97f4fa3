// A TCP server that runs a test's script on each connection.
#ifndef SUPPORT_RAW_SERVER_H_
#define SUPPORT_RAW_SERVER_H_

#include <functional>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

#include "sockets/listening_socket.h"
#include "support/raw_socket.h"

namespace chestnutport::test {

class RawServer {
 public:
  // Runs on one thread per connection. The connection is closed when the script
  // returns. `number` counts the connections, starting at one.
  using Script = std::function<void(RawSocket& connection, int number)>;

  explicit RawServer(Script script);
  // Shuts down the connections that are still open.
  ~RawServer();

  const base::SocketAddress& address() const { return socket_.address(); }

 private:
  void AcceptAll();

  Script script_;
  sockets::ListeningSocket socket_;
  std::mutex mutex_;
  std::list<RawSocket> connections_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_RAW_SERVER_H_
