// One node's part of what a fleet may spend on second attempts.
#ifndef CALLS_FLEET_RETRY_LIMIT_H_
#define CALLS_FLEET_RETRY_LIMIT_H_

#include <cstddef>

namespace chestnutport::calls {

// The bound for all nodes together: in any window, attempts beyond the first
// may be `share` of the requests, and `burst` beside.
struct FleetRetryLimit {
  double share = 0.2;
  double burst = 600;
};

// What one node may spend on a service, in tokens: it earns `share` with each
// request, and saves up to `burst`.
struct NodeRetryLimit {
  double share = 0;
  double burst = 0;
};

// The part of one node among `nodes`, so that all parts together keep the
// bound without the nodes speaking of it. `nodes` is to be the most that were
// seen lately: a node that is cut off from the others must not take theirs.
NodeRetryLimit PerNodeRetryLimit(const FleetRetryLimit& limit, size_t nodes);

}  // namespace chestnutport::calls

#endif  // CALLS_FLEET_RETRY_LIMIT_H_
