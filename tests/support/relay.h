// A TCP relay between two processes, by which a test injects network faults.
#ifndef SUPPORT_RELAY_H_
#define SUPPORT_RELAY_H_

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "base/socket_address.h"
#include "net/event_loop.h"
#include "sockets/listening_socket.h"

namespace chestnutport::test {

class Relay {
 public:
  // Starts at once, on its own thread and a port chosen by the kernel.
  explicit Relay(const base::SocketAddress& to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const base::SocketAddress& address() const { return socket_.address(); }
  // Sets the target of new connections.
  void SetTarget(const base::SocketAddress& to);

  // Each of the following functions returns once its fault is in force.
  // Stops forwarding on open connections for good, without closing them. New
  // connections work.
  void SilenceOpenConnections();
  // Resets all open connections. New connections work.
  void ResetOpenConnections();
  // Discards all bytes from the target to the client, on open and new
  // connections.
  void DropAnswers(bool drop);
  // Forwards each chunk, and each close, with this delay.
  void SetDelay(std::chrono::milliseconds delay);
  // Resets open connections and closes new ones at once, until called with
  // false.
  void Cut(bool cut);
  size_t open_connections();

 private:
  struct Connection;

  void Accept();
  void Pump(uint64_t id, bool towards_target);
  void Forward(uint64_t id, bool towards_target, const std::string& bytes);
  void Close(uint64_t id, bool reset);
  void RunOnLoop(const std::function<void()>& task);

  base::SocketAddress target_;
  sockets::ListeningSocket socket_;
  net::EventLoop loop_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  uint64_t last_id_ = 0;
  bool drop_answers_ = false;
  bool is_disconnected_ = false;
  std::chrono::milliseconds delay_{0};
  std::thread thread_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_RELAY_H_
