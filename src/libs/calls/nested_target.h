// Until when an answer is worth most to a server that makes a call of its own.
#ifndef CALLS_NESTED_TARGET_H_
#define CALLS_NESTED_TARGET_H_

#include "base/time.h"

namespace chestnutport::calls {

// `target`: until the call's own target; `remaining`: until its deadline, which
// is that of the request it is made for. Half of that is left to what the
// server still has to do. A call that is refused fails the request, with all
// that was done for it; one that waits only makes it later.
base::Duration NestedTarget(base::Duration target, base::Duration remaining);

}  // namespace chestnutport::calls

#endif  // CALLS_NESTED_TARGET_H_
