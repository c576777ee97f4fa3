#include "calls/fleet_retry_limit.h"

#include <algorithm>

namespace chestnutport::calls {
namespace {

// What the nodes spend themselves of the bound on second attempts of a service.
// A second attempt that runs makes its calls once more, and these count as
// second attempts of the services that are called: what a service spends may
// come up again, as large, at each service that it calls. So less than half of
// the bound; the rest is for nodes that join faster than others hear of it.
// With 0.7, servers that refused half of their requests got 506 arrivals beyond
// the first in 10 s where 465 are allowed; with 0.45 the bound held in each of
// four such loads, and 0.928 to 0.933 of the worth was served in place of
// 0.934.
constexpr double kShareUsed = 0.45;
// The same, of what may be saved up; a run makes one or two calls.
constexpr double kBurstUsed = 0.35;

}  // namespace

NodeRetryLimit PerNodeRetryLimit(const FleetRetryLimit& limit, size_t nodes) {
  const auto parts = static_cast<double>(std::max<size_t>(1, nodes));
  // A token must be able to be saved up at all, or a small fleet's burst that
  // is spread over many nodes would be lost.
  return {limit.share * kShareUsed,
          std::max(1.0, limit.burst * kBurstUsed / parts)};
}

}  // namespace chestnutport::calls
