// The load and the faults in one row of the benchmark.
#ifndef DECISIONS_CONDITION_H_
#define DECISIONS_CONDITION_H_

#include <string>
#include <vector>

#include "base/time.h"

namespace chestnutport::bench {

enum class ConditionKind {
  kSteady,
  kStraggler,            // One server becomes five times slower.
  kAlternatingSlowdown,  // Either half of the servers alternately is four times
                         // slower for 50 ms.
  kFastFailing,          // One server answers 500 after 1 ms.
  kFalseReport,     // One server is three times slower but reports to be idle.
  kTenantBurst,     // One of four tenants sends three times as much.
  kRollingUpgrade,  // Servers drain, stop and restart cold, one after another.
  kDataCentreLoss,  // A data centre is lost, and restarts cold.
  kRateLimit,       // One server states a fifth of its usual rate as its limit.
  kRateLimitOfAll,  // All servers do, of half their usual rate.
  kChain,           // Calls 24 deep whose last level becomes ten times slower.
};

struct Condition {
  std::string name;
  ConditionKind kind = ConditionKind::kSteady;
  double load = 0.5;              // Offered work as a share of the capacity.
  base::Duration report_delay{};  // Age of a load report when it is sent.
};

std::vector<Condition> AllConditions();

// Times since the start of a run.
inline constexpr std::chrono::milliseconds kWarmUp(500);
inline constexpr std::chrono::milliseconds kFaultFrom(1000);
inline constexpr std::chrono::milliseconds kFaultUntil(3000);
// From the end of a fault until all is as before.
inline constexpr std::chrono::milliseconds kRecoveryTime(1000);
inline constexpr std::chrono::milliseconds kRunLength(5000);

}  // namespace chestnutport::bench

#endif  // DECISIONS_CONDITION_H_
