#include "configuration/read_pace.h"

#include <algorithm>
#include <random>

namespace chestnutport::configuration {
namespace {

constexpr int kSpreadPart = 5;
// This part of the spread is left for others to be heard of: a node that was
// started beside a running fleet has its configuration from a neighbour by then
// (some 70 ms on a tenth of a core), and makes no call.
constexpr int kHeadStartPart = 2;

base::Duration Draw(base::Duration least,
                    base::Duration most,
                    base::Random& random) {
  std::uniform_int_distribution<base::Duration::rep> ticks(least.count(),
                                                           most.count());
  return base::Duration(ticks(random));
}

}  // namespace

base::Duration ReadPace::First(base::Random& random) const {
  const base::Duration spread =
      std::min(kFirstReadSpread, longest_ / kSpreadPart);
  return Draw(spread / kHeadStartPart, spread, random);
}

base::Duration ReadPace::Next(bool read_failed,
                              bool is_alone,
                              base::Random& random) {
  if (read_failed || is_alone)
    interval_ = std::min(2 * interval_, longest_);
  else
    interval_ = kReadInterval;
  // Jitter only shortens the wait after a failure, and lengthens none: a
  // healthy reader makes at most one call in kReadInterval.
  if (interval_ == kReadInterval)
    return Draw(kReadInterval, kReadInterval + kReadInterval / 8, random);
  return Draw(interval_ / 2, interval_, random);
}

}  // namespace chestnutport::configuration
