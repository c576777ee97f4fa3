// Divides a fleet-wide limit on retries and hedges among the nodes.
#ifndef CALLS_FLEET_RETRY_LIMIT_H_
#define CALLS_FLEET_RETRY_LIMIT_H_

#include <cstddef>

namespace chestnutport::calls {

// Limit for all nodes together: in any period, the attempts beyond the first
// may number `share` times the requests, plus `burst`.
struct FleetRetryLimit {
  double share = 0.2;
  double burst = 600;
};

// Token bucket of one node for one service: each request adds `share` tokens,
// up to `burst`; each attempt beyond the first takes one.
struct NodeRetryLimit {
  double share = 0;
  double burst = 0;
};

// Returns the limit of one of `nodes` nodes, such that the fleet stays within
// `limit` without coordination. `nodes` should be the greatest number seen
// recently, so that a node in a partition does not use the share of those it
// cannot reach.
NodeRetryLimit PerNodeRetryLimit(const FleetRetryLimit& limit, size_t nodes);

}  // namespace chestnutport::calls

#endif  // CALLS_FLEET_RETRY_LIMIT_H_
