#include "decisions/condition.h"

namespace chestnutport::bench {

namespace {

constexpr double kUsualLoad = 0.5;
constexpr double kOverload = 1.5;

}  // namespace

std::vector<Condition> AllConditions() {
  using std::chrono::milliseconds;
  return {
      {"steady", ConditionKind::kSteady},
      {"straggler", ConditionKind::kStraggler},
      {"slow-turns", ConditionKind::kAlternatingSlowdown},
      {"fast-failing", ConditionKind::kFastFailing},
      {"lying-report", ConditionKind::kFalseReport},
      {"stale-1ms", ConditionKind::kSteady, kUsualLoad, milliseconds(1)},
      {"stale-10ms", ConditionKind::kSteady, kUsualLoad, milliseconds(10)},
      {"stale-100ms", ConditionKind::kSteady, kUsualLoad, milliseconds(100)},
      {"tenant-rush", ConditionKind::kTenantBurst},
      {"rolling-upgrade", ConditionKind::kRollingUpgrade},
      {"data-centre-loss", ConditionKind::kDataCentreLoss},
      {"overload", ConditionKind::kSteady, kOverload},
      {"chain-24", ConditionKind::kChain},
  };
}

}  // namespace chestnutport::bench
