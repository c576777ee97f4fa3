// The end of an attempt, as the ingress node sees it.
#ifndef CALLS_ATTEMPT_END_H_
#define CALLS_ATTEMPT_END_H_

#include "base/error_kind.h"
#include "base/time.h"

namespace chestnutport::calls {

enum class AttemptVerdict {
  kAnswered,    // The server's complete answer arrived, with a status below
                // 500.
  kFailed,      // The server's complete answer arrived, with a status of 500 or
                // more.
  kRefused,     // The other node reports that the attempt did not run and never
                // will.
  kNotSent,     // No connection could be opened.
  kLost,        // No usable answer; the attempt may have run.
  kFinalError,  // The other node's error is the caller's final answer; no other
                // attempt is made. Logged as "ended".
};

struct AttemptEnd {
  AttemptVerdict verdict = AttemptVerdict::kLost;
  base::ErrorKind error = base::ErrorKind::kConnectionLost;
  base::Duration retry_after{};  // From the other node; zero if it sent none.
};

}  // namespace chestnutport::calls

#endif  // CALLS_ATTEMPT_END_H_
