#include "quarantine/recently_answered_requests.h"

#include <utility>

namespace chestnutport::quarantine {

using base::Instant;
using base::RequestFingerprint;

void RecentlyAnsweredRequests::Add(RequestFingerprint fingerprint,
                                   uint64_t life,
                                   Instant now) {
  if (now >= window_start_ + kWindow || current_.size() >= kMaxPerWindow)
    Rotate(now);
  current_[fingerprint] = life;
}

bool RecentlyAnsweredRequests::Contains(RequestFingerprint fingerprint,
                                        uint64_t life,
                                        Instant now) const {
  if (now >= window_start_ + 2 * kWindow)
    return false;
  const auto answered = [&](const LifeByRequest& lives) {
    const auto found = lives.find(fingerprint);
    return found != lives.end() && found->second == life;
  };
  return answered(current_) || answered(previous_);
}

void RecentlyAnsweredRequests::Rotate(Instant now) {
  const bool is_outdated = now >= window_start_ + 2 * kWindow;
  previous_ = is_outdated ? LifeByRequest() : std::move(current_);
  current_.clear();
  window_start_ = now;
}

}  // namespace chestnutport::quarantine
