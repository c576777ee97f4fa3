// When a caller whose request was refused is to come back.
#ifndef CALLS_RETRY_DELAY_H_
#define CALLS_RETRY_DELAY_H_

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::calls {

// `expected`: when there may be room, as far as it is known. `remaining`: what
// the caller's deadline leaves. The time lies where the answer to the second
// request can still be of use, and is spread, so that callers that were refused
// together do not return together.
base::Duration RetryDelay(base::Duration expected,
                          base::Duration remaining,
                          base::Random& random);

}  // namespace chestnutport::calls

#endif  // CALLS_RETRY_DELAY_H_
