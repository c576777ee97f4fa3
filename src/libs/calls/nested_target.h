// Until when an answer is worth most to a server that makes a call of its own.
#ifndef CALLS_NESTED_TARGET_H_
#define CALLS_NESTED_TARGET_H_

#include "base/time.h"

namespace chestnutport::calls {

// `target`: until the call's own target; `remaining`: until its deadline, which
// is that of the request it is made for. Half of that is left to what the
// server still has to do. A call that is refused fails the request, with all
// that was done for it; one that waits only makes it later. In a rush at a
// service that others call, 0.19 of the requests failed for their call with its
// own target, four times its work, and none with this one; of the other
// requests there 0.41 were in time in place of 0.95 (virtual time, one play).
base::Duration NestedTarget(base::Duration target, base::Duration remaining);

}  // namespace chestnutport::calls

#endif  // CALLS_NESTED_TARGET_H_
