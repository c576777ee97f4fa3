// The delay after which a caller whose request was refused should retry.
#ifndef CALLS_RETRY_DELAY_H_
#define CALLS_RETRY_DELAY_H_

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::calls {

// `expected`: estimated time until there is capacity. `remaining`: time until
// the caller's deadline. Returns a delay after which a retry can still be
// answered before the deadline, with jitter, so that callers that were refused
// together do not retry together.
base::Duration RetryDelay(base::Duration expected,
                          base::Duration remaining,
                          base::Random& random);

}  // namespace chestnutport::calls

#endif  // CALLS_RETRY_DELAY_H_
