#include "configuration/revision_lag.h"

#include <algorithm>

namespace chestnutport::configuration {

void RevisionLag::OnRevisionReported(uint64_t revision, base::Instant now) {
  if (revision <= std::max(in_force_, greatest_reported_))
    return;
  if (!IsBehind())
    behind_since_ = now;
  greatest_reported_ = revision;
  greatest_reported_at_ = now;
}

base::Duration RevisionLag::OnInForce(uint64_t revision, base::Instant now) {
  const base::Duration behind = Behind(now);
  in_force_ = std::max(in_force_, revision);
  behind_since_ = greatest_reported_at_;
  return behind;
}

base::Duration RevisionLag::Behind(base::Instant now) const {
  return IsBehind() ? now - behind_since_ : base::Duration::zero();
}

}  // namespace chestnutport::configuration
