// Queries the status of an attempt at another node's gate, and cancels or stops
// it (method attempt.settle between nodes).
#ifndef INGRESS_ATTEMPT_CONTROL_CLIENT_H_
#define INGRESS_ATTEMPT_CONTROL_CLIENT_H_

#include <functional>

#include "base/attempt_id.h"
#include "calls/attempt_status.h"
#include "control_calls/peer_keys.h"
#include "http_client/http_client.h"
#include "routing/server_candidate.h"

namespace chestnutport::ingress {

enum class AttemptCommand {
  kQueryStatus,  // Only reports the status.
  kCancel,       // Prevents an attempt that has not started from starting.
  kStop,         // Like kCancel, and interrupts a running attempt.
};

class AttemptControlClient {
 public:
  using Handler = std::function<void(calls::AttemptStatus)>;

  // Uses an HTTP client of its own with a new connection for each command, so
  // that commands never wait behind or use an unresponsive connection.
  AttemptControlClient(net::EventLoop& loop, control_calls::PeerKeys keys);

  void SendCommand(const routing::ServerCandidate& server,
                   const base::AttemptId& attempt,
                   AttemptCommand command,
                   base::Duration timeout,
                   Handler handler);

 private:
  control_calls::PeerKeys keys_;
  http_client::HttpClient client_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ATTEMPT_CONTROL_CLIENT_H_
