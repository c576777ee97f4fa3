#include "quarantine/surprisal.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::quarantine {
namespace {

// Besides those that were seen, one is assumed: what is not seen yet, as
// servers have just begun to end, is no reason to take each end for a proof.
constexpr double kAssumedEnds = 1;
constexpr double kPerDecade = 10;
// A run that is lost in the moment in which it begins is no proof either.
constexpr std::chrono::milliseconds kShortestRun(1);

}  // namespace

int Surprisal(base::Duration runs, int other_crashes) {
  using Seconds = std::chrono::duration<double>;
  const double rate =
      (other_crashes + kAssumedEnds) / Seconds(kCrashRateWindow).count();
  const double expected =
      rate * Seconds(std::max<base::Duration>(runs, kShortestRun)).count();
  const double chance = 1 - std::exp(-expected);
  const double surprise = -kPerDecade * std::log10(chance);
  return std::clamp(static_cast<int>(surprise), 0, kMaxSurprisal);
}

}  // namespace chestnutport::quarantine
