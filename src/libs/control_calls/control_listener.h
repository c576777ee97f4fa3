// The listener for control calls of other nodes: JSON-RPC, signed with the
// fleet's key. Runs on the control thread.
#ifndef CONTROL_CALLS_CONTROL_LISTENER_H_
#define CONTROL_CALLS_CONTROL_LISTENER_H_

#include <memory>
#include <string>

#include "base/result.h"
#include "control_calls/peer_keys.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "rpc/dispatcher.h"

namespace chestnutport::control_calls {

// The path of control calls.
inline constexpr char kControlPath[] = "/chestnutport/control";

class ControlListener {
 public:
  // `loop` must outlive the listener.
  ControlListener(net::EventLoop& loop, PeerKeys keys);

  base::Result<bool> Listen(const base::SocketAddress& address);
  void Add(const std::string& method, rpc::Dispatcher::Method handler);

  const base::SocketAddress& address() const { return listener_->address(); }

 private:
  void OnRequest(const net::HttpRequest& request, net::Reply reply);

  net::EventLoop& loop_;
  PeerKeys keys_;
  rpc::Dispatcher dispatcher_;
  std::unique_ptr<net::HttpServer> listener_;
};

}  // namespace chestnutport::control_calls

#endif  // CONTROL_CALLS_CONTROL_LISTENER_H_
