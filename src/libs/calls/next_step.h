// What the ingress node is to do next for a call.
#ifndef CALLS_NEXT_STEP_H_
#define CALLS_NEXT_STEP_H_

#include "absl/container/inlined_vector.h"
#include "base/error_kind.h"
#include "base/time.h"

namespace chestnutport::calls {

enum class Step {
  kSend,         // Send attempt `attempt` to a server that was not tried yet.
  kQueryStatus,  // Ask for the attempt's state, on a fresh connection.
  kCancel,       // The same, and bar it from starting.
  kCloseConnection,  // Close the attempt's connection; its end is not reported.
  kAbandon,          // Cancel it; neither its end nor the answer is reported.
  kRelayAnswer,      // Give the caller the server's answer to `attempt`.
  kAnswerError,      // Give the caller the error in `error`.
};

struct NextStep {
  Step step = Step::kAnswerError;
  int attempt = 0;  // Counted from zero within the call.
  base::ErrorKind error = base::ErrorKind::kInternal;  // Of kAnswerError.
  base::Duration retry_after{};                        // Of kAnswerError.
};

// To be carried out in this order.
using NextSteps = absl::InlinedVector<NextStep, 4>;

}  // namespace chestnutport::calls

#endif  // CALLS_NEXT_STEP_H_
