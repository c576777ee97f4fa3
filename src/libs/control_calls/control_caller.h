// Makes control calls to other nodes. Runs on the control thread.
#ifndef CONTROL_CALLS_CONTROL_CALLER_H_
#define CONTROL_CALLS_CONTROL_CALLER_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "base/socket_address.h"
#include "control_calls/peer_keys.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"

namespace chestnutport::control_calls {

// Each call opens a connection: a kept one may have gone silent, which takes
// the whole timeout to show, and calls are too few for the handshake to count.
class ControlCaller {
 public:
  // The result, JSON as text.
  using Handler = std::function<void(base::Result<std::string>)>;
  // The first bytes of the answer came.
  using AnsweringHandler = std::function<void()>;

  // `loop` must outlive the caller.
  ControlCaller(net::EventLoop& loop, PeerKeys keys);

  // `params` is a JSON object as text.
  void Call(const base::SocketAddress& node,
            const std::string& method,
            const std::string& params,
            base::Duration timeout,
            Handler handler,
            AnsweringHandler answering = nullptr);

  // Calls without an answer yet.
  size_t open_calls() const { return http_.transfers(); }

 private:
  http_client::HttpClient http_;
  PeerKeys keys_;
};

}  // namespace chestnutport::control_calls

#endif  // CONTROL_CALLS_CONTROL_CALLER_H_
