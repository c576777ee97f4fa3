#include "admission/server_liveness.h"

#include <algorithm>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;

// Three are missing when half of the next interval has gone by as well.
constexpr double kMissing = 3.5;
// One was certainly to come since: announcements are some tenths late at most.
constexpr int kOverdue = 2;
constexpr Duration kShortestInterval = std::chrono::milliseconds(300);
constexpr Duration kLongestInterval = std::chrono::seconds(10);

}  // namespace

void ServerLiveness::OnAnnounced(Instant now) {
  if (announced_) {
    // Follows a longer interval at once and a shorter one slowly.
    const Duration gap =
        std::clamp(now - last_announced_, kShortestInterval, kLongestInterval);
    interval_ = std::max(gap, interval_ - interval_ / 8);
  }
  announced_ = true;
  last_announced_ = now;
}

void ServerLiveness::OnAnswer(Instant now) {
  last_answer_ = now;
}

bool ServerLiveness::IsAlive(Instant now) const {
  const auto patience = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(interval_) * kMissing);
  const Instant last_sign = std::max(last_announced_, last_answer_);
  return announced_ && now - last_sign <= patience;
}

bool ServerLiveness::IsAnnouncementOverdue(Instant now) const {
  return !announced_ || now - last_announced_ > kOverdue * interval_;
}

}  // namespace chestnutport::admission
