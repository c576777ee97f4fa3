#include "configuration/read_timing.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace chestnutport::configuration {
namespace {

constexpr int kFirstReadDivisor = 5;

base::Duration Draw(base::Duration least,
                    base::Duration most,
                    base::Random& random) {
  std::uniform_int_distribution<base::Duration::rep> ticks(least.count(),
                                                           most.count());
  return base::Duration(ticks(random));
}

}  // namespace

base::Duration ReadTiming::FirstReadDelay(base::Random& random) const {
  const base::Duration jitter =
      std::min(kFirstReadJitter, max_interval_ / kFirstReadDivisor);
  const double fraction =
      std::cbrt(std::uniform_real_distribution<>(0, 1)(random));
  return std::chrono::duration_cast<base::Duration>(fraction * jitter);
}

base::Duration ReadTiming::NextReadDelay(bool read_failed,
                                         bool is_alone,
                                         size_t failing_nodes,
                                         base::Random& random) {
  if (read_failed || is_alone)
    interval_ = std::min(2 * interval_, max_interval_);
  else
    interval_ = kReadInterval;
  const base::Duration interval =
      read_failed ? std::max<base::Duration>(
                        interval_, static_cast<int64_t>(failing_nodes) *
                                       kFleetRetryInterval)
                  : interval_;
  // Jitter shortens the delay after a failure, but lengthens it otherwise: a
  // healthy reader makes at most one call per kReadInterval.
  if (interval == kReadInterval)
    return Draw(kReadInterval, kReadInterval + kReadInterval / 8, random);
  return Draw(interval / 2, interval, random);
}

WatchDurations ReadTiming::DrawWatch(bool has_short_watches,
                                     base::Random& random) const {
  const auto draw = [&random](base::Duration least, base::Duration most) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Draw(least, most, random));
  };
  if (has_short_watches)
    return {draw(max_short_watch_ * 3 / 4, max_short_watch_), kShortWatchGrace};
  return {draw(kMinLongWatch, kMaxLongWatch), kLongWatchGrace};
}

base::Duration ReadTiming::RereadDelay(base::Random& random) {
  return Draw({}, kRereadJitter, random);
}

}  // namespace chestnutport::configuration
