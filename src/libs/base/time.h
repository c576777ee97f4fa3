// The clock of all decisions. Decision code never reads it: a time is passed
// in.
#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>

namespace chestnutport::base {

// Monotonic; not related to the time of day, nor to another node's clock.
using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Duration = Clock::duration;

}  // namespace chestnutport::base

#endif  // BASE_TIME_H_
