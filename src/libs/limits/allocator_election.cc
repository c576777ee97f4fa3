#include "limits/allocator_election.h"

#include <algorithm>
#include <utility>

namespace chestnutport::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Only so many candidates call the store.
constexpr size_t kMaxCandidates = 8;
// After it has read that there is an allocator, a candidate reads again at this
// interval until it hears of one.
constexpr seconds kReadInterval{1};
// Renewals in a row that fail before the allocator asks to be displaced.
constexpr int kMissedRenewals = 2;
// An author that leaves its entry without a lease for this time has stopped.
constexpr seconds kStalledTime{2};

}  // namespace

AllocatorElection::AllocatorElection(base::NodeId self,
                                     base::SocketAddress vm,
                                     ElectionOptions options)
    : self_(self), vm_(vm), options_(options) {}

void AllocatorElection::SetMembers(std::vector<ElectionMember> members,
                                   base::BootInstant now) {
  if (!started_at_)
    started_at_ = now;
  for (const auto* list : {&members_, &members}) {
    for (const ElectionMember& member : *list) {
      if (member.is_alive)
        last_alive_[member.id] = now;
    }
  }
  members_ = std::move(members);
  std::erase_if(last_alive_, [&](const auto& item) {
    return !IsAlive(item.first) && now - item.second > options_.lease_time;
  });
}

void AllocatorElection::OnNotice(const AllocatorNotice& notice,
                                 base::BootInstant now) {
  if (notice.holder == self_ || (known_ && notice.epoch < known_->epoch))
    return;
  const bool is_own_ended =
      state_ == State::kHolding && authority_.epoch < notice.epoch;
  if (state_ == State::kHolding && !is_own_ended)
    return;
  known_ = notice;
  heard_at_ = now;
  if (is_own_ended)
    Follow(now, nanoseconds(0));
}

void AllocatorElection::SetRoster(const Roster& roster) {
  wanted_roster_ = roster;
}

std::optional<StoreOperation> AllocatorElection::OperationDue(
    base::BootInstant now) {
  CheckAuthority(now);
  if (outstanding_ || now < not_before_)
    return std::nullopt;
  if (state_ == State::kFollowing) {
    const auto turn = TurnAt(now);
    if (!turn || now < *turn)
      return std::nullopt;
    state_ = State::kReading;
  }
  outstanding_ = NextOperation(now);
  if (outstanding_)
    outstanding_->id = next_id_++;
  return outstanding_;
}

std::optional<StoreOperation> AllocatorElection::NextOperation(
    base::BootInstant now) const {
  switch (state_) {
    case State::kReading:
      return StoreOperation{.kind = StoreOperationKind::kReadEntry};
    case State::kMarking:
      return StoreOperation{.kind = StoreOperationKind::kWriteEntry,
                            .entry = OwnEntry(0),
                            .revision = revision_};
    case State::kEndingOther:
      return StoreOperation{.kind = StoreOperationKind::kEndLease,
                            .lease = entry_.displaced_lease};
    case State::kGranting:
      return StoreOperation{.kind = StoreOperationKind::kGrantLease,
                            .lease_time = options_.lease_time};
    case State::kWriting:
      return StoreOperation{.kind = StoreOperationKind::kWriteEntry,
                            .entry = OwnEntry(lease_),
                            .revision = revision_};
    case State::kHolding: {
      const StoreOperation operation = HoldingOperation(now);
      if (operation.kind == StoreOperationKind::kKeepLeaseAlive &&
          now < renewed_at_ + options_.renewal_interval)
        return std::nullopt;
      return operation;
    }
    case State::kResigning:
    case State::kEndingOwn:
      return StoreOperation{.kind = StoreOperationKind::kEndLease,
                            .lease = lease_};
    case State::kReleasing: {
      AllocatorEntry entry = OwnEntry(0);
      entry.displaced_lease = lease_;
      entry.is_handed_over = true;
      return StoreOperation{.kind = StoreOperationKind::kWriteEntry,
                            .entry = entry,
                            .revision = revision_};
    }
    case State::kFollowing:
    case State::kStopped:
      return std::nullopt;
  }
  return std::nullopt;
}

// Renewals come first; a renewal that is not due yet is returned if there is
// nothing else to do.
StoreOperation AllocatorElection::HoldingOperation(
    base::BootInstant now) const {
  StoreOperation renewal{.kind = StoreOperationKind::kKeepLeaseAlive,
                         .lease = lease_};
  if (now >= renewed_at_ + options_.renewal_interval)
    return renewal;
  if (is_entry_uncertain_)
    return {.kind = StoreOperationKind::kReadEntry};
  if (wanted_roster_ != entry_.roster) {
    AllocatorEntry entry = entry_;
    entry.epoch = authority_.epoch;
    entry.roster = wanted_roster_;
    return {.kind = StoreOperationKind::kWriteEntry,
            .entry = entry,
            .revision = revision_};
  }
  return renewal;
}

AllocatorEntry AllocatorElection::OwnEntry(StoreLease lease) const {
  AllocatorEntry entry{.holder = self_, .vm = vm_, .lease = lease};
  entry.roster = entry_.roster;
  entry.roster.insert(vm_);
  for (const ElectionMember& member : members_) {
    if (member.is_alive)
      entry.roster.insert(member.vm);
  }
  if (lease == 0)
    entry.displaced_lease =
        entry_.lease != 0 ? entry_.lease : entry_.displaced_lease;
  return entry;
}

void AllocatorElection::OnResult(const StoreOperationResult& result,
                                 base::BootInstant now) {
  if (!outstanding_ || result.id != outstanding_->id)
    return;
  const StoreOperation operation = *std::exchange(outstanding_, std::nullopt);
  if (result.status == StoreStatus::kFailed)
    not_before_ = now + options_.retry_interval;
  switch (state_) {
    case State::kHolding:
      OnHoldingResult(operation, result, now);
      break;
    case State::kResigning:
    case State::kReleasing:
    case State::kEndingOwn:
      OnReleaseResult(result, now);
      break;
    case State::kFollowing:
    case State::kStopped:
      break;
    default:
      OnAcquisitionResult(operation, result, now);
  }
  CheckAuthority(now);
}

void AllocatorElection::OnAcquisitionResult(const StoreOperation& operation,
                                            const StoreOperationResult& result,
                                            base::BootInstant now) {
  const bool is_done = result.status == StoreStatus::kDone;
  switch (operation.kind) {
    case StoreOperationKind::kReadEntry:
      if (is_done)
        OnRead(result, now);
      else
        // While the store serves nobody, each call is wasted.
        Follow(now, nanoseconds(kReadInterval));
      break;
    case StoreOperationKind::kWriteEntry:
      // After a conflict or an unknown outcome the entry may still be this
      // node's.
      if (!is_done) {
        state_ = State::kReading;
        break;
      }
      entry_ = operation.entry;
      revision_ = result.revision;
      if (state_ == State::kWriting)
        Hold(now);
      else
        ContinueFromMark(now);
      break;
    case StoreOperationKind::kEndLease:
      if (result.status != StoreStatus::kFailed) {
        earlier_leases_until_ =
            std::max(earlier_leases_until_, now + options_.lease_time);
        state_ = State::kGranting;
      }
      break;
    case StoreOperationKind::kGrantLease:
      if (is_done) {
        lease_ = result.lease;
        renewed_at_ = result.sent_at;
        state_ = State::kWriting;
      }
      break;
    case StoreOperationKind::kKeepLeaseAlive:
      break;
  }
}

void AllocatorElection::OnRead(const StoreOperationResult& result,
                               base::BootInstant now) {
  entry_ = result.entry.value_or(AllocatorEntry());
  revision_ = result.revision;
  if (revision_ == 0) {
    entry_ = {};
    state_ = State::kGranting;
  } else if (entry_.holder != self_) {
    OnOtherEntry(now);
  } else if (entry_.lease != 0 && entry_.lease == lease_) {
    Hold(now);
  } else if (entry_.lease != 0) {
    state_ = State::kMarking;  // Written with a lease that was given up.
  } else {
    ContinueFromMark(now);
  }
}

// The entry has no lease and names this node. Its own lease is granted only
// after that of the displaced allocator has ended: if this node is lost later,
// the entry does not expire before the authority of the displaced one.
void AllocatorElection::ContinueFromMark(base::BootInstant now) {
  earlier_leases_until_ =
      std::max(earlier_leases_until_, now + options_.lease_time);
  state_ = entry_.displaced_lease != 0 ? State::kEndingOther : State::kGranting;
}

void AllocatorElection::OnOtherEntry(base::BootInstant now) {
  if (MayDisplace(now)) {
    state_ = State::kMarking;
    return;
  }
  const bool has_authority = entry_.lease != 0 && IsAlive(entry_.holder);
  Follow(now,
         has_authority ? nanoseconds(kReadInterval) : options_.retry_interval);
}

bool AllocatorElection::MayDisplace(base::BootInstant now) {
  if (!SeesHalfOf(entry_.roster))
    return false;
  if (entry_.is_handed_over ||
      AbsentFor(entry_.holder, now) >= options_.displacement_delay)
    return true;
  if (entry_.lease != 0)
    return false;
  if (stalled_revision_ != revision_) {
    stalled_revision_ = revision_;
    stalled_since_ = now;
  }
  return now - stalled_since_ >= kStalledTime;
}

// The outcome of a write is known, or the entry has been read: it has this
// node's lease.
void AllocatorElection::Hold(base::BootInstant now) {
  state_ = State::kHolding;
  is_entry_uncertain_ = false;
  wanted_roster_ = entry_.roster;
  authority_ = {.epoch = entry_.epoch != 0 ? entry_.epoch
                                           : static_cast<uint64_t>(revision_),
                .until = renewed_at_ + options_.lease_time,
                .renewed_at = renewed_at_,
                .roster = entry_.roster};
  if (earlier_leases_until_ > now)
    authority_.takeover_until = earlier_leases_until_;
  known_.reset();
}

void AllocatorElection::OnHoldingResult(const StoreOperation& operation,
                                        const StoreOperationResult& result,
                                        base::BootInstant now) {
  const bool is_done = result.status == StoreStatus::kDone;
  switch (operation.kind) {
    case StoreOperationKind::kKeepLeaseAlive:
      if (is_done) {
        renewed_at_ = std::max(renewed_at_, result.sent_at);
        authority_.until = renewed_at_ + options_.lease_time;
        authority_.renewed_at = renewed_at_;
      } else if (result.status == StoreStatus::kConflict) {
        Follow(now, nanoseconds(0));
      }
      break;
    case StoreOperationKind::kWriteEntry:
      is_entry_uncertain_ = !is_done;
      if (is_done) {
        entry_ = operation.entry;
        revision_ = result.revision;
      }
      break;
    case StoreOperationKind::kReadEntry:
      if (!is_done)
        break;
      is_entry_uncertain_ = false;
      if (result.entry && result.entry->holder == self_ &&
          result.entry->lease == lease_) {
        entry_ = *result.entry;
        revision_ = result.revision;
      } else {
        Follow(now, nanoseconds(0));
      }
      break;
    default:
      break;
  }
}

void AllocatorElection::OnReleaseResult(const StoreOperationResult& result,
                                        base::BootInstant now) {
  const bool is_done = result.status == StoreStatus::kDone;
  const bool is_over = now >= authority_.until;
  if (state_ == State::kResigning) {
    if (result.status != StoreStatus::kFailed)
      Follow(now, nanoseconds(0));
  } else if (state_ == State::kEndingOwn) {
    if (result.status != StoreStatus::kFailed || is_over)
      state_ = State::kStopped;
  } else if (is_done) {
    state_ = State::kEndingOwn;
  } else if (is_over || result.status == StoreStatus::kConflict) {
    // Without the mark, the entry has to end by itself: leases are in use.
    state_ = State::kStopped;
  }
}

void AllocatorElection::HandOver(base::BootInstant now) {
  CheckAuthority(now);
  if (state_ == State::kHolding)
    state_ = State::kReleasing;
  else if (state_ != State::kReleasing && state_ != State::kEndingOwn)
    state_ = State::kStopped;
  // The result of a call that is outstanding would be taken for that of the
  // release.
  outstanding_.reset();
}

void AllocatorElection::CheckAuthority(base::BootInstant now) {
  if (state_ == State::kHolding && now >= authority_.until)
    state_ = State::kResigning;
  // The lease may have ended while it was being written to the entry.
  if (state_ == State::kWriting && !outstanding_ &&
      now >= renewed_at_ + options_.lease_time)
    state_ = State::kReading;
}

void AllocatorElection::Follow(base::BootInstant now, nanoseconds pause) {
  if (state_ == State::kHolding)
    earlier_leases_until_ = std::max(earlier_leases_until_, authority_.until);
  state_ = State::kFollowing;
  pause_until_ = now + pause;
}

std::optional<base::BootInstant> AllocatorElection::TurnAt(
    base::BootInstant now) const {
  if (!started_at_)
    return std::nullopt;
  size_t rank = 0;
  const auto self = std::ranges::find_if(members_, [&](const auto& member) {
    const bool is_candidate = member.is_alive && member.can_do_store_duty;
    if (member.id != self_ && is_candidate)
      ++rank;
    return member.id == self_;
  });
  if (self == members_.end() || !self->can_do_store_duty ||
      rank >= kMaxCandidates)
    return std::nullopt;
  base::BootInstant vacant_since = *started_at_;
  if (known_ && IsAlive(known_->holder))
    vacant_since = heard_at_ + options_.lease_time;
  else if (known_)
    vacant_since =
        now - AbsentFor(known_->holder, now) + options_.displacement_delay;
  return std::max(pause_until_, vacant_since + static_cast<int64_t>(rank) *
                                                   options_.candidate_delay);
}

std::optional<base::BootInstant> AllocatorElection::NextDue(
    base::BootInstant now) const {
  if (outstanding_ || state_ == State::kStopped)
    return std::nullopt;
  if (state_ == State::kFollowing) {
    const auto turn = TurnAt(now);
    return turn ? std::optional(std::max(*turn, not_before_)) : std::nullopt;
  }
  if (state_ == State::kHolding &&
      HoldingOperation(now).kind == StoreOperationKind::kKeepLeaseAlive)
    return std::max(not_before_, renewed_at_ + options_.renewal_interval);
  return not_before_;
}

std::optional<Authority> AllocatorElection::authority(
    base::BootInstant now) const {
  if (state_ != State::kHolding || now >= authority_.until)
    return std::nullopt;
  return authority_;
}

bool AllocatorElection::IsAtRisk(base::BootInstant now) const {
  return authority(now) &&
         now >= renewed_at_ + kMissedRenewals * options_.renewal_interval;
}

std::optional<AllocatorNotice> AllocatorElection::notice(
    base::BootInstant now) const {
  if (!authority(now))
    return std::nullopt;
  return AllocatorNotice{.holder = self_, .vm = vm_, .epoch = authority_.epoch};
}

bool AllocatorElection::IsAlive(base::NodeId id) const {
  return std::ranges::any_of(members_, [id](const ElectionMember& member) {
    return member.id == id && member.is_alive;
  });
}

nanoseconds AllocatorElection::AbsentFor(base::NodeId id,
                                         base::BootInstant now) const {
  if (!started_at_ || IsAlive(id))
    return nanoseconds(0);
  const auto seen = last_alive_.find(id);
  return now - (seen == last_alive_.end() ? *started_at_ : seen->second);
}

bool AllocatorElection::SeesHalfOf(const Roster& roster) const {
  const auto seen =
      std::ranges::count_if(roster, [this](const base::SocketAddress& vm) {
        return vm == vm_ ||
               std::ranges::any_of(members_, [&vm](const auto& member) {
                 return member.is_alive && member.vm == vm;
               });
      });
  return static_cast<size_t>(seen) * 2 >= roster.size();
}

}  // namespace chestnutport::limits
