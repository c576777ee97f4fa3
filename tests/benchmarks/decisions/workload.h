// The callers' requests of one run. They depend on the seed only, so that every
// policy gets the same requests.
#ifndef DECISIONS_WORKLOAD_H_
#define DECISIONS_WORKLOAD_H_

#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "decisions/condition.h"
#include "decisions/fleet_shape.h"

namespace chestnutport::bench {

inline constexpr std::chrono::milliseconds kMeanWork(10);
inline constexpr std::chrono::milliseconds kDeadline(1000);
inline constexpr int kTenants = 4;
inline constexpr int kBurstingTenant = 0;
inline constexpr int kChainDepth = 24;

struct CallerRequest {
  base::Instant arrival;
  int vm = 0;  // Whose node receives the request.
  int service = 0;
  int tenant = 0;
  bool is_repeatable = false;
  base::Duration work{};
};

// Returns the requests in order of arrival.
std::vector<CallerRequest> DrawRequests(const FleetShape& shape,
                                        const Condition& condition,
                                        uint64_t seed);

// Returns the requests per second that the servers can process.
double CapacityPerSecond(const FleetShape& shape);

// Returns the average time for which a call holds a slot of its server.
base::Duration MeanSlotTime(const FleetShape& shape,
                            const Condition& condition);

// Returns the service called at a level of a chain.
int ServiceAtDepth(const FleetShape& shape, int depth);
// Returns the work of a chain's call at a level.
base::Duration ChainWork(int depth, base::Instant now);

}  // namespace chestnutport::bench

#endif  // DECISIONS_WORKLOAD_H_
