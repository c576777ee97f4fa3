// How an attempt ended, seen from the ingress node.
#ifndef CALLS_ATTEMPT_END_H_
#define CALLS_ATTEMPT_END_H_

#include "base/error_kind.h"
#include "base/time.h"

namespace chestnutport::calls {

enum class AttemptVerdict {
  kAnswered,    // The server's whole answer came.
  kFailed,      // The same, with a status of 500 or more.
  kRefused,     // The other node says that it did not run and will not.
  kNotSent,     // No connection was opened.
  kLost,        // It may have run.
  kFinalError,  // The other node's error is the answer, whatever it says.
};

struct AttemptEnd {
  AttemptVerdict verdict = AttemptVerdict::kLost;
  base::ErrorKind error = base::ErrorKind::kConnectionLost;
  base::Duration retry_after{};  // As the other node said; zero: it did not.
};

}  // namespace chestnutport::calls

#endif  // CALLS_ATTEMPT_END_H_
