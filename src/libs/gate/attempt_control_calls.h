// The RPC attempt.settle (path /chestnutport/settle), by which another node
// queries the state of an attempt, or cancels it. The caller is
// ingress::AttemptControlClient.
// Decodes the call and encodes the result; the handler carries it out.
#ifndef GATE_ATTEMPT_CONTROL_CALLS_H_
#define GATE_ATTEMPT_CONTROL_CALLS_H_

#include <functional>
#include <string>

#include "admission/attempt_state.h"
#include "base/attempt_id.h"
#include "net/http_message.h"
#include "rpc/dispatcher.h"

namespace chestnutport::gate {

struct AttemptControlRequest {
  base::AttemptId attempt;
  bool cancel = true;        // Guarantees that it does not start after this.
  bool stop_running = true;  // A cancelled attempt that runs is interrupted.
};

class AttemptControlCalls {
 public:
  // Returns the state of the attempt after the request was carried out.
  using Handler = std::function<admission::AttemptState(
      const AttemptControlRequest& request)>;

  explicit AttemptControlCalls(Handler handler);

  // Returns the answer to a call; a malformed call is answered with an error.
  net::HttpAnswer Answer(const std::string& body);

 private:
  // Returns the result, or an empty string if the parameters are invalid.
  std::string ControlAttempt(const std::string& params) const;

  Handler handler_;
  rpc::Dispatcher dispatcher_;
};

}  // namespace chestnutport::gate

#endif  // GATE_ATTEMPT_CONTROL_CALLS_H_
