#include "quarantine/surprise.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::quarantine {
namespace {

// Where none was seen, half an end is assumed: a rate of zero would make every
// end a certainty.
constexpr double kAssumedEnds = 0.5;
constexpr double kPerDecade = 10;
// A run that is lost in the moment in which it begins is no proof either.
constexpr std::chrono::milliseconds kShortestRun(1);

}  // namespace

int Surprise(base::Duration ran, size_t other_ends, size_t servers) {
  using Seconds = std::chrono::duration<double>;
  const double rate =
      (static_cast<double>(other_ends) + kAssumedEnds) /
      (static_cast<double>(servers) * Seconds(kEndsWindow).count());
  const double expected =
      rate * Seconds(std::max<base::Duration>(ran, kShortestRun)).count();
  const double chance = 1 - std::exp(-expected);
  const double surprise = -kPerDecade * std::log10(chance);
  return std::clamp(static_cast<int>(surprise), 0, kMostSurprise);
}

}  // namespace chestnutport::quarantine
