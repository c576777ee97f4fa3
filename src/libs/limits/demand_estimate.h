// The arrival rate of a tenant's requests at a node.
#ifndef LIMITS_DEMAND_ESTIMATE_H_
#define LIMITS_DEMAND_ESTIMATE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "base/boot_clock.h"

namespace chestnutport::limits {

// A node wants this much more rate than its demand, as demand varies.
inline constexpr double kRateReserve = 1.25;

// Counts arrivals of the last second in ten slots, and keeps an average over
// about five seconds, at constant cost.
class DemandEstimate {
 public:
  void Add(base::BootInstant now);

  // The greater of the arrivals in the last second and the average: demand that
  // rises counts at once, but a second with few arrivals by chance does not.
  double PerSecond(base::BootInstant now) const;
  std::optional<base::BootInstant> last_arrival() const {
    return last_arrival_;
  }

 private:
  static constexpr std::chrono::milliseconds kSlot{100};
  static constexpr int64_t kSlots = 10;

  // Arrivals of the slots up to `newest_slot_`, each at its number modulo
  // kSlots.
  std::array<uint16_t, kSlots> counts_{};
  int64_t newest_slot_ = 0;
  double average_ = 0;  // At the last arrival.
  std::optional<base::BootInstant> last_arrival_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_DEMAND_ESTIMATE_H_
