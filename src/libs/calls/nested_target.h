// Latency target of a nested call: one that a server makes for a request that
// it is running.
#ifndef CALLS_NESTED_TARGET_H_
#define CALLS_NESTED_TARGET_H_

#include "base/time.h"

namespace chestnutport::calls {

// `target`: time until the call's own latency target. `remaining`: time until
// its deadline, which is that of the enclosing request. Returns the longer of
// `target` and half of `remaining`; the other half is left for the rest of the
// server's work. The target is generous because refusing the call would fail
// the enclosing request and waste the work done for it, while queueing only
// delays it.
base::Duration NestedTarget(base::Duration target, base::Duration remaining);

}  // namespace chestnutport::calls

#endif  // CALLS_NESTED_TARGET_H_
