#include "quarantine/recently_answered_requests.h"

#include <utility>

namespace chestnutport::quarantine {

using base::Instant;
using base::RequestFingerprint;

void RecentlyAnsweredRequests::Add(RequestFingerprint fingerprint,
                                   uint64_t life,
                                   Instant now) {
  if (now >= window_start_ + kWindow || present_.size() >= kMaxPerWindow)
    Rotate(now);
  present_[fingerprint] = life;
}

bool RecentlyAnsweredRequests::Contains(RequestFingerprint fingerprint,
                                        uint64_t life,
                                        Instant now) const {
  if (now >= window_start_ + 2 * kWindow)
    return false;
  const auto answered = [&](const Lives& lives) {
    const auto found = lives.find(fingerprint);
    return found != lives.end() && found->second == life;
  };
  return answered(present_) || answered(previous_);
}

void RecentlyAnsweredRequests::Rotate(Instant now) {
  const bool is_old = now >= window_start_ + 2 * kWindow;
  previous_ = is_old ? Lives() : std::move(present_);
  present_.clear();
  window_start_ = now;
}

}  // namespace chestnutport::quarantine
