// A TCP relay that a test puts between two processes, to make the path between
// them fail.
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
#include "net/listening_socket.h"

namespace chestnutport::test {

class Relay {
 public:
  // Starts at once, on a thread of its own and a port given by the kernel.
  explicit Relay(const base::SocketAddress& to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const base::SocketAddress& address() const { return socket_.address(); }
  // Where later connections go.
  void SetTarget(const base::SocketAddress& to);

  // Each of these is in force when it returns.
  // Connections open now go silent for good; new ones work.
  void SilenceOpenConnections();
  // Connections open now are reset.
  void ResetOpenConnections();
  // Bytes towards the opener of a connection are swallowed, on open and new
  // connections alike, so that answers are lost.
  void DropAnswers(bool drop);
  // Every part is handed on this much later.
  void SetDelay(std::chrono::milliseconds delay);
  // Open connections are reset and new ones closed at once.
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
  net::ListeningSocket socket_;
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
