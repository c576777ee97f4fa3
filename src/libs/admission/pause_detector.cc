#include "admission/pause_detector.h"

#include <algorithm>

namespace chestnutport::admission {
namespace {

constexpr std::chrono::milliseconds kMinPause(50);
constexpr std::chrono::seconds kBacklogTime(1);

}  // namespace

void PauseDetector::Update(base::Instant now) {
  const base::Duration gap = now - last_update_;
  last_update_ = now;
  if (gap < kMinPause)
    return;
  pause_length_ = std::max(gap, UnobservedDelay(now));
  resumed_at_ = now;
}

base::Duration PauseDetector::UnobservedDelay(base::Instant now) const {
  return now < resumed_at_ + kBacklogTime ? pause_length_ : base::Duration{};
}

}  // namespace chestnutport::admission
