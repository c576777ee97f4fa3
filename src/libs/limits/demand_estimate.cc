#include "limits/demand_estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chestnutport::limits {
namespace {

constexpr std::chrono::duration<double> kAverageTime{5.0};

double Decay(std::chrono::nanoseconds time) {
  return std::exp(-std::max(0.0, time / kAverageTime));
}

}  // namespace

void DemandEstimate::Add(base::BootInstant now) {
  const int64_t slot = now.time_since_epoch() / kSlot;
  if (slot - newest_slot_ >= kSlots)
    counts_ = {};
  else
    for (int64_t i = newest_slot_ + 1; i <= slot; ++i)
      counts_[static_cast<size_t>(i % kSlots)] = 0;
  newest_slot_ = std::max(newest_slot_, slot);
  uint16_t& count = counts_[static_cast<size_t>(slot % kSlots)];
  if (count < std::numeric_limits<uint16_t>::max())
    ++count;
  if (last_arrival_)
    average_ *= Decay(now - *last_arrival_);
  average_ += 1 / kAverageTime.count();
  last_arrival_ = now;
}

double DemandEstimate::PerSecond(base::BootInstant now) const {
  const int64_t slot = now.time_since_epoch() / kSlot;
  double sum = 0;
  for (int64_t i = slot - kSlots + 1; i <= newest_slot_; ++i)
    sum += counts_[static_cast<size_t>(i % kSlots)];
  const double average =
      last_arrival_ ? average_ * Decay(now - *last_arrival_) : 0;
  return std::max(sum, average);
}

}  // namespace chestnutport::limits
