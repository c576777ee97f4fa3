// Asks another node's gate what became of an attempt, and may bar it from
// starting.
#ifndef INGRESS_ATTEMPT_CONTROL_CLIENT_H_
#define INGRESS_ATTEMPT_CONTROL_CLIENT_H_

#include <functional>

#include "base/attempt_id.h"
#include "calls/attempt_status.h"
#include "control_calls/peer_keys.h"
#include "net/http_client.h"
#include "routing/server_candidate.h"

namespace chestnutport::ingress {

enum class AttemptCommand {
  kQueryStatus,  // Changes nothing.
  kCancel,       // An attempt that has not started never will.
  kStop,         // The same, and one that runs is cut off.
};

class AttemptControlClient {
 public:
  using Handler = std::function<void(calls::AttemptStatus)>;

  // A client of its own, so that a question never waits behind, nor travels
  // on, a connection that went silent.
  AttemptControlClient(net::EventLoop& loop, control_calls::PeerKeys keys);

  void SendCommand(const routing::ServerCandidate& server,
                   const base::AttemptId& attempt,
                   AttemptCommand command,
                   base::Duration timeout,
                   Handler handler);

 private:
  control_calls::PeerKeys keys_;
  net::HttpClient client_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ATTEMPT_CONTROL_CLIENT_H_
