// Makes control calls to other nodes. Runs on the control thread.
#ifndef NODE_CONTROL_CALLER_H_
#define NODE_CONTROL_CALLER_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "base/socket_address.h"
#include "net/http_client.h"
#include "node/peer_keys.h"

namespace chestnutport::node {

class ControlCaller {
 public:
  // The result, JSON as text.
  using Handler = std::function<void(base::Result<std::string>)>;
  // The first bytes of the answer came.
  using AnsweringHandler = std::function<void()>;

  // `http` must outlive the caller.
  ControlCaller(net::HttpClient& http, PeerKeys keys);

  // `params` is a JSON object as text.
  void Call(const base::SocketAddress& node,
            const std::string& method,
            const std::string& params,
            base::Duration timeout,
            Handler handler,
            AnsweringHandler answering = nullptr);

 private:
  net::HttpClient& http_;
  PeerKeys keys_;
};

}  // namespace chestnutport::node

#endif  // NODE_CONTROL_CALLER_H_
