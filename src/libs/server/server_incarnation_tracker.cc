#include "server/server_incarnation_tracker.h"

#include <algorithm>
#include <utility>

namespace chestnutport::server {
namespace {

using std::chrono::milliseconds;

// Limit on the ended incarnations that are kept to detect their stale messages.
// Messages are delayed by seconds at most, and a server restarts at most once a
// second.
constexpr size_t kMaxPastIncarnations = 16;
constexpr milliseconds kUnknownStartTime(0);

}  // namespace

ServerIncarnationTracker::Verdict ServerIncarnationTracker::OnAnnounced(
    const ServerAnnouncement& announcement,
    bool is_doubtful) {
  const bool is_current = current_ && Matches(*current_, announcement.instance,
                                              announcement.started_at);
  if (is_current)
    return ClassifyCurrent(announcement, is_doubtful);
  if (!MayReplace(announcement, is_doubtful)) {
    RaisePastSequence(announcement);
    return Verdict::kStale;
  }
  if (current_)
    AddPast(*std::exchange(current_, std::nullopt));
  ErasePast(announcement.instance, announcement.started_at);
  current_ = Incarnation{announcement.instance, announcement.started_at,
                         announcement.sequence};
  return Verdict::kNewIncarnation;
}

bool ServerIncarnationTracker::OnLeft(const std::string& instance,
                                      milliseconds started_at) {
  const bool is_current =
      instance.empty() ||
      (current_ && (Matches(*current_, instance, started_at) ||
                    IsEarlierStart(*current_, instance, started_at)));
  Incarnation left{instance, started_at};
  if (is_current && current_) {
    left = *std::exchange(current_, std::nullopt);
    left.started_at = std::max(left.started_at, started_at);
  }
  left.has_left = true;
  if (!left.instance.empty()) {
    ErasePast(left.instance, left.started_at);
    AddPast(std::move(left));
  }
  return is_current;
}

bool ServerIncarnationTracker::IsReplaced(
    const ServerAnnouncement& announcement) const {
  const Incarnation* known = FindPast(announcement);
  return known && !known->has_left;
}

// Start times are compared only if both are known.
bool ServerIncarnationTracker::Matches(const Incarnation& known,
                                       const std::string& instance,
                                       milliseconds started_at) {
  const bool are_both_known =
      known.started_at != kUnknownStartTime && started_at != kUnknownStartTime;
  return known.instance == instance &&
         (!are_both_known || known.started_at == started_at);
}

bool ServerIncarnationTracker::IsEarlierStart(const Incarnation& known,
                                              const std::string& instance,
                                              milliseconds started_at) {
  return known.instance == instance && known.started_at != kUnknownStartTime &&
         known.started_at < started_at;
}

ServerIncarnationTracker::Verdict ServerIncarnationTracker::ClassifyCurrent(
    const ServerAnnouncement& announcement,
    bool is_doubtful) {
  // A server sends its start time in all announcements or in none, so that one
  // without it comes from another sender.
  const bool is_from_other_server =
      current_->started_at != kUnknownStartTime &&
      announcement.started_at == kUnknownStartTime;
  // Without start times, a server that starts again under the same name begins
  // its numbers anew.
  const bool is_same_start = current_->started_at != kUnknownStartTime &&
                             announcement.started_at != kUnknownStartTime;
  const bool is_older = announcement.sequence > 0 &&
                        announcement.sequence <= current_->sequence &&
                        (is_same_start || !is_doubtful);
  if (!announcement.instance.empty() && (is_from_other_server || is_older))
    return Verdict::kStale;
  current_->started_at = announcement.started_at;
  current_->sequence = announcement.sequence;
  return Verdict::kCurrentIncarnation;
}

bool ServerIncarnationTracker::MayReplace(
    const ServerAnnouncement& announcement,
    bool is_doubtful) const {
  if (const Incarnation* known = FindPast(announcement)) {
    const bool may_return =
        is_doubtful || (announcement.draining && IsAfterCurrent(announcement));
    return may_return && !known->has_left &&
           announcement.sequence > known->sequence;
  }
  return is_doubtful || IsLaterStart(announcement);
}

const ServerIncarnationTracker::Incarnation* ServerIncarnationTracker::FindPast(
    const ServerAnnouncement& announcement) const {
  const auto known = std::ranges::find_if(past_, [&](const Incarnation& past) {
    return Matches(past, announcement.instance, announcement.started_at);
  });
  const bool is_known = known != past_.end() && !announcement.instance.empty();
  return is_known ? &*known : nullptr;
}

void ServerIncarnationTracker::RaisePastSequence(
    const ServerAnnouncement& announcement) {
  for (Incarnation& past : past_) {
    if (Matches(past, announcement.instance, announcement.started_at))
      past.sequence = std::max(past.sequence, announcement.sequence);
  }
}

bool ServerIncarnationTracker::IsLaterStart(
    const ServerAnnouncement& announcement) const {
  if (!current_)
    return true;
  const bool are_starts_known = current_->started_at != kUnknownStartTime &&
                                announcement.started_at != kUnknownStartTime;
  return are_starts_known ? IsAfterCurrent(announcement)
                          : announcement.instance != current_->instance;
}

bool ServerIncarnationTracker::IsAfterCurrent(
    const ServerAnnouncement& announcement) const {
  return current_ && current_->started_at != kUnknownStartTime &&
         current_->started_at < announcement.started_at;
}

void ServerIncarnationTracker::ErasePast(const std::string& instance,
                                         milliseconds started_at) {
  std::erase_if(past_, [&](const Incarnation& past) {
    return Matches(past, instance, started_at);
  });
}

void ServerIncarnationTracker::AddPast(Incarnation past) {
  past_.push_back(std::move(past));
  if (past_.size() > kMaxPastIncarnations)
    past_.pop_front();
}

}  // namespace chestnutport::server
