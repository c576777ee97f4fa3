// Decides which node is the allocator of rate limits.
#ifndef LIMITS_ALLOCATOR_ELECTION_H_
#define LIMITS_ALLOCATOR_ELECTION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/boot_clock.h"
#include "base/node_id.h"
#include "base/socket_address.h"
#include "limits/allocator_entry.h"
#include "limits/limit_messages.h"
#include "limits/share_allocator.h"

namespace chestnutport::limits {

// Members are passed in the order of duties::StoreDutyOrder, including this
// node.
struct ElectionMember {
  base::NodeId id;
  base::SocketAddress vm;
  bool is_alive = false;
  bool can_do_store_duty = false;
};

enum class StoreOperationKind {
  kReadEntry,       // Of the store's present state, not a stale read.
  kGrantLease,      // For `lease_time`.
  kWriteEntry,      // With `entry.lease`, if the revision is `revision`.
  kKeepLeaseAlive,  // Renews `lease`.
  kEndLease,        // Ends `lease`.
};

// One store call. It should be given up after half a second. A call that was
// given up may still take effect.
struct StoreOperation {
  uint64_t id = 0;
  StoreOperationKind kind = StoreOperationKind::kReadEntry;
  AllocatorEntry entry;
  int64_t revision = 0;  // Zero: the entry must not exist.
  StoreLease lease = 0;
  std::chrono::nanoseconds lease_time{};
};

enum class StoreStatus {
  kDone,
  kConflict,  // The revision differs, or the lease does not exist.
  kFailed,    // Not known to have taken effect.
};

struct StoreOperationResult {
  uint64_t id = 0;  // Of the operation.
  StoreStatus status = StoreStatus::kFailed;
  base::BootInstant sent_at;
  // Read; nothing if it does not exist or cannot be decoded.
  std::optional<AllocatorEntry> entry;
  int64_t revision = 0;  // Of the entry read or written; zero if none exists.
  StoreLease lease = 0;  // Granted.
};

struct Authority {
  uint64_t epoch = 0;
  base::BootInstant until;
  base::BootInstant renewed_at;  // When the last good renewal was sent.
  std::optional<base::BootInstant> takeover_until;
  Roster roster;  // As stored when the authority was acquired.
};

struct ElectionOptions {
  std::chrono::nanoseconds lease_time = std::chrono::seconds(4);
  std::chrono::nanoseconds renewal_interval = std::chrono::milliseconds(700);
  std::chrono::nanoseconds retry_interval = std::chrono::milliseconds(200);
  // The holder must not have been alive for this time before it is displaced.
  std::chrono::nanoseconds displacement_delay = std::chrono::milliseconds(500);
  // Between the turns of successive candidates.
  std::chrono::nanoseconds candidate_delay = std::chrono::milliseconds(300);
};

// Store calls: the holder makes one renewal each 0.7 s, or one each 0.2 s while
// they fail, and one write for each change of the roster (at most one each
// 0.2 s). While no holder is known, only the first eight candidates whose turn
// has come call the store, each with one call at a time and at most one each
// 0.2 s, except that a successful call of the acquisition is followed by the
// next: at most 40 calls per second in the fleet, and four more for each
// acquisition. Nobody else calls the store while the holder is alive and was
// heard of within the lease time.
class AllocatorElection {
 public:
  AllocatorElection(base::NodeId self,
                    base::SocketAddress vm,
                    ElectionOptions options = {});

  // Call it at each change, and at the start.
  void SetMembers(std::vector<ElectionMember> members, base::BootInstant now);

  // Takes note of an allocator that has authority, as its notices say. This
  // node gives up its own authority if its epoch is lower. Call it before
  // TenantLimiter::SetAllocator(), and stop the ShareAllocator if authority()
  // is empty afterwards.
  void OnNotice(const AllocatorNotice& notice, base::BootInstant now);

  // While this node is the allocator: the roster that the entry should have.
  void SetRoster(const Roster& roster);
  // The roster of the entry that this node last wrote successfully.
  const Roster& stored_roster() const { return entry_.roster; }

  // Returns the store call to start now, once; at most one is outstanding.
  std::optional<StoreOperation> OperationDue(base::BootInstant now);
  // Takes the result of each operation, also if it was given up.
  void OnResult(const StoreOperationResult& result, base::BootInstant now);
  // Returns when to call OperationDue() next, unless something else happens
  // before.
  std::optional<base::BootInstant> NextDue(base::BootInstant now) const;

  // Nothing if this node is not the allocator at `now`. Check it before each
  // use: authority ends by the clock.
  std::optional<Authority> authority(base::BootInstant now) const;
  // What to tell the other nodes while this node has authority.
  std::optional<AllocatorNotice> notice(base::BootInstant now) const;

  // Gives up authority at once, for a node that stops: authority() is empty
  // from now on. The entry is left without a lease, so that the next allocator
  // knows that leases are in use, and the store lease is ended.
  void HandOver(base::BootInstant now);
  // Whether this node is the allocator and its last renewals have failed, so
  // that its authority may end. A node that reaches the store should displace
  // it before: if the store serves nobody, it keeps its authority meanwhile.
  bool IsAtRisk(base::BootInstant now) const;
  // Whether this node makes no further store calls.
  bool is_handed_over() const { return state_ == State::kStopped; }

 private:
  enum class State {
    kFollowing,    // Another node is the allocator, or may become it.
    kReading,      // Reads the entry.
    kMarking,      // Writes the entry without a lease, to displace.
    kEndingOther,  // Ends the lease of the displaced allocator.
    kGranting,     // Grants a lease to itself.
    kWriting,      // Writes the entry with the lease.
    kHolding,      // Is the allocator.
    kResigning,    // Its authority has passed: ends its own lease.
    kReleasing,    // Hands over: writes the entry without a lease.
    kEndingOwn,    // Hands over: ends its own lease.
    kStopped,
  };

  void Follow(base::BootInstant now, std::chrono::nanoseconds pause);
  void CheckAuthority(base::BootInstant now);
  bool IsAlive(base::NodeId id) const;
  // How long a node has not been alive in this node's view.
  std::chrono::nanoseconds AbsentFor(base::NodeId id,
                                     base::BootInstant now) const;
  bool SeesHalfOf(const Roster& roster) const;
  bool MayDisplace(base::BootInstant now);
  // When it is this node's turn to call the store, if at all.
  std::optional<base::BootInstant> TurnAt(base::BootInstant now) const;
  std::optional<StoreOperation> NextOperation(base::BootInstant now) const;
  StoreOperation HoldingOperation(base::BootInstant now) const;
  AllocatorEntry OwnEntry(StoreLease lease) const;
  void OnRead(const StoreOperationResult& result, base::BootInstant now);
  void OnOtherEntry(base::BootInstant now);
  void OnHoldingResult(const StoreOperation& operation,
                       const StoreOperationResult& result,
                       base::BootInstant now);
  void OnAcquisitionResult(const StoreOperation& operation,
                           const StoreOperationResult& result,
                           base::BootInstant now);
  void OnReleaseResult(const StoreOperationResult& result,
                       base::BootInstant now);
  void ContinueFromMark(base::BootInstant now);
  void Hold(base::BootInstant now);

  base::NodeId self_;
  base::SocketAddress vm_;
  ElectionOptions options_;
  std::vector<ElectionMember> members_;
  std::map<base::NodeId, base::BootInstant> last_alive_;
  std::optional<base::BootInstant> started_at_;

  State state_ = State::kFollowing;
  AllocatorEntry entry_;          // Last read or written.
  int64_t revision_ = 0;          // Of `entry_`; zero if there is none.
  StoreLease lease_ = 0;          // This node's own.
  base::BootInstant renewed_at_;  // When the last good renewal was sent.
  Roster wanted_roster_;
  Authority authority_;
  // A write whose outcome is not known: the entry has to be read.
  bool is_entry_uncertain_ = false;
  // End of what may be in use of earlier allocators, if this node displaced
  // one or lost its own authority early.
  base::BootInstant earlier_leases_until_;

  std::optional<AllocatorNotice> known_;  // The allocator last heard of.
  base::BootInstant heard_at_;            // When.
  base::BootInstant pause_until_;         // Not to call the store before.
  int64_t stalled_revision_ = 0;          // Of an entry without a lease.
  base::BootInstant stalled_since_;

  uint64_t next_id_ = 1;
  std::optional<StoreOperation> outstanding_;
  base::BootInstant not_before_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_ALLOCATOR_ELECTION_H_
