// A clock that also counts the time that the VM is suspended.
#ifndef BASE_BOOT_CLOCK_H_
#define BASE_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>

namespace chestnutport::base {

// CLOCK_BOOTTIME. Monotonic, and not related to the time of day. Use it for
// whatever must expire while a process or its VM is paused.
class BootClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name that the requirements of a Clock prescribe.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using BootInstant = BootClock::time_point;

}  // namespace chestnutport::base

#endif  // BASE_BOOT_CLOCK_H_
