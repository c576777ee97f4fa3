#include "decisions/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace chestnutport::bench {
namespace {

using base::Duration;
using base::Instant;

constexpr double kBurstFactor = 3;
constexpr double kChainsPerSecond = 25;
constexpr std::chrono::milliseconds kChainWorkOfLevel(1);
constexpr int kSlowLeafFactor = 10;
// Standard deviation of the logarithm of the work: the longest of 100 requests
// takes 2.3 times the mean.
constexpr double kLogWorkDeviation = 0.4;
constexpr int kLevelsBetweenSmallService = 4;

double MeanWorkSeconds() {
  return std::chrono::duration<double>(kMeanWork).count();
}

Duration DrawWork(base::Random& random) {
  std::lognormal_distribution<double> work(
      std::log(MeanWorkSeconds()) - kLogWorkDeviation * kLogWorkDeviation / 2,
      kLogWorkDeviation);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(work(random)));
}

int Servers(const FleetShape& shape) {
  return std::accumulate(shape.services.begin(), shape.services.end(), 0);
}

// Whether the burst of one tenant is active at `now`.
bool IsBurst(const Condition& condition, Instant now) {
  return condition.kind == ConditionKind::kTenantBurst &&
         now >= Instant(kFaultFrom) && now < Instant(kFaultUntil);
}

int DrawTenant(bool is_burst, base::Random& random) {
  std::vector<double> shares(kTenants, 1.0);
  if (is_burst)
    shares[kBurstingTenant] = kBurstFactor;
  return std::discrete_distribution<int>(shares.begin(), shares.end())(random);
}

CallerRequest DrawRequest(const FleetShape& shape,
                          bool is_burst,
                          Instant now,
                          base::Random& random) {
  CallerRequest request;
  request.arrival = now;
  request.vm =
      std::uniform_int_distribution<int>(0, Servers(shape) - 1)(random);
  request.service = std::discrete_distribution<int>(
      shape.services.begin(), shape.services.end())(random);
  request.tenant = DrawTenant(is_burst, random);
  request.is_repeatable = std::bernoulli_distribution(0.5)(random);
  request.work = DrawWork(random);
  return request;
}

}  // namespace

std::vector<CallerRequest> DrawRequests(const FleetShape& shape,
                                        const Condition& condition,
                                        uint64_t seed) {
  base::Random random(seed);
  const bool is_chain = condition.kind == ConditionKind::kChain;
  const double usual =
      is_chain ? kChainsPerSecond : CapacityPerSecond(shape) * condition.load;
  std::vector<CallerRequest> requests;
  Instant now{};
  while (now < Instant(kRunLength)) {
    const bool is_burst = IsBurst(condition, now);
    const double rate =
        is_burst ? usual * (kTenants - 1 + kBurstFactor) / kTenants : usual;
    std::exponential_distribution<double> gap(rate);
    now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    CallerRequest request = DrawRequest(shape, is_burst, now, random);
    if (is_chain) {
      request.service = ServiceAtDepth(shape, 0);
      request.is_repeatable = true;
      request.work = ChainWork(0, now);
    }
    requests.push_back(request);
  }
  return requests;
}

double CapacityPerSecond(const FleetShape& shape) {
  return Servers(shape) * shape.slots / MeanWorkSeconds();
}

Duration MeanSlotTime(const FleetShape& shape, const Condition& condition) {
  if (condition.kind != ConditionKind::kChain)
    return kMeanWork;
  return kChainDepth / 2 * (kChainWorkOfLevel + 2 * shape.between_data_centres);
}

int ServiceAtDepth(const FleetShape& shape, int depth) {
  const bool is_small =
      depth % kLevelsBetweenSmallService == kLevelsBetweenSmallService - 1;
  return is_small ? static_cast<int>(shape.services.size()) - 1 : 0;
}

Duration ChainWork(int depth, Instant now) {
  const bool is_slow = depth == kChainDepth - 1 && now >= Instant(kFaultFrom) &&
                       now < Instant(kFaultUntil);
  return is_slow ? kSlowLeafFactor * kChainWorkOfLevel : kChainWorkOfLevel;
}

}  // namespace chestnutport::bench
