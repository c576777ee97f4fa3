#include "admission/attempt_ledger.h"

#include <algorithm>

namespace chestnutport::admission {

using base::AttemptId;
using base::Instant;

AttemptState AttemptLedger::Find(const AttemptId& attempt) const {
  const auto found = records_.find(attempt);
  return found == records_.end() ? AttemptState::kUnknown : found->second;
}

bool AttemptLedger::IsNew(const AttemptId& attempt, Instant now) {
  auto found = origins_.find(attempt.origin);
  if (found == origins_.end()) {
    if (origins_.size() >= limits_.origins)
      ExpireIdleOrigins(now);
    if (origins_.size() >= limits_.origins)
      return false;
    found = origins_.try_emplace(attempt.origin).first;
  }
  found->second.last_seen = now;
  return attempt.sequence > found->second.highest_dropped_sequence;
}

void AttemptLedger::Set(const AttemptId& attempt,
                        AttemptState state,
                        Instant now) {
  records_[attempt] = state;
  if (state == AttemptState::kQueued || state == AttemptState::kRunning)
    return;
  finished_.push_back({attempt, now});
  if (finished_.size() > limits_.max_finished)
    DropOldest();
}

void AttemptLedger::Expire(Instant now) {
  while (!finished_.empty() &&
         finished_.front().since + limits_.retention < now)
    DropOldest();
}

void AttemptLedger::DropOldest() {
  const AttemptId attempt = finished_.front().attempt;
  finished_.pop_front();
  records_.erase(attempt);
  const auto found = origins_.find(attempt.origin);
  if (found == origins_.end())
    return;
  uint64_t& highest_dropped = found->second.highest_dropped_sequence;
  highest_dropped = std::max(highest_dropped, attempt.sequence);
}

void AttemptLedger::ExpireIdleOrigins(Instant now) {
  absl::erase_if(origins_, [&](const auto& entry) {
    return entry.second.last_seen + limits_.origin_retention < now;
  });
}

}  // namespace chestnutport::admission
