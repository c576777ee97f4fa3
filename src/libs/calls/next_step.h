// Actions that the ingress node has to take for a call.
#ifndef CALLS_NEXT_STEP_H_
#define CALLS_NEXT_STEP_H_

#include "absl/container/inlined_vector.h"
#include "base/error_kind.h"
#include "base/time.h"

namespace chestnutport::calls {

enum class Step {
  kSend,             // Send `attempt` to a server that was not tried yet.
  kQueryStatus,      // Query the attempt's status on a new connection.
  kCancel,           // Query its status, and prevent it from starting.
  kCloseConnection,  // Close its connection; its end is not reported.
  kAbandon,          // Cancel it; neither its end nor the reply is reported.
  kRelayAnswer,      // Send the caller the server's answer to `attempt`.
  kAnswerError,      // Send the caller `error`.
};

struct NextStep {
  Step step = Step::kAnswerError;
  int attempt = 0;  // Counted from zero within the call.
  base::ErrorKind error = base::ErrorKind::kInternal;  // For kAnswerError.
  base::Duration retry_after{};                        // For kAnswerError.
};

// Must be carried out in this order.
using NextSteps = absl::InlinedVector<NextStep, 4>;

}  // namespace chestnutport::calls

#endif  // CALLS_NEXT_STEP_H_
