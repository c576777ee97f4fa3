#include "quarantine/surprisal.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::quarantine {
namespace {

// One crash is assumed in addition to those observed. When servers have just
// begun to crash, a low observed rate must not turn a single crash into strong
// evidence.
constexpr double kAssumedCrashes = 1;
constexpr double kPerDecade = 10;
// A request that is lost as soon as it starts is not strong evidence either.
constexpr std::chrono::milliseconds kMinRunTime(1);

}  // namespace

int Surprisal(base::Duration run_time, int other_crashes) {
  using Seconds = std::chrono::duration<double>;
  const double rate =
      (other_crashes + kAssumedCrashes) / Seconds(kCrashRateWindow).count();
  const double expected_crashes =
      rate * Seconds(std::max<base::Duration>(run_time, kMinRunTime)).count();
  const double probability = 1 - std::exp(-expected_crashes);
  const double surprisal = -kPerDecade * std::log10(probability);
  return std::clamp(static_cast<int>(surprisal), 0, kMaxSurprisal);
}

}  // namespace chestnutport::quarantine
