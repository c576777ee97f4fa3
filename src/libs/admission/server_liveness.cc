#include "admission/server_liveness.h"

#include <algorithm>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;

// Time-out in intervals: three announcements are missing, plus half an interval
// of tolerance.
constexpr double kTimeoutIntervals = 3.5;
// In intervals. Announcements are at most some tenths of an interval late, so
// one is missing after this time.
constexpr int kOverdueIntervals = 2;
constexpr Duration kMinInterval = std::chrono::milliseconds(300);
constexpr Duration kMaxInterval = std::chrono::seconds(10);

}  // namespace

void ServerLiveness::OnAnnounced(Instant now) {
  if (announced_) {
    // Follows a longer interval at once and a shorter one gradually.
    const Duration gap =
        std::clamp(now - last_announced_, kMinInterval, kMaxInterval);
    interval_ = std::max(gap, interval_ - interval_ / 8);
  }
  announced_ = true;
  last_announced_ = now;
}

void ServerLiveness::OnAnswer(Instant now) {
  last_answer_ = now;
}

bool ServerLiveness::IsAlive(Instant now) const {
  const auto timeout = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(interval_) * kTimeoutIntervals);
  const Instant last_sign = std::max(last_announced_, last_answer_);
  return announced_ && now - last_sign <= timeout;
}

bool ServerLiveness::IsAnnouncementOverdue(Instant now) const {
  return !announced_ || now - last_announced_ > kOverdueIntervals * interval_;
}

}  // namespace chestnutport::admission
