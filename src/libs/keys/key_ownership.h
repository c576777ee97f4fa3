// Determines which node of a service owns an idempotency key, and so is the
// only one to run requests with it. Views of the fleet and times are passed in.
//
// Nodes do not coordinate. Timing prevents two nodes from running requests with
// the same key: a node uses a view of the fleet only for `view_validity`, a new
// owner waits for the longer `settling_time`, and it then accepts only keys
// that were first used after that wait.
#ifndef KEYS_KEY_OWNERSHIP_H_
#define KEYS_KEY_OWNERSHIP_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "base/node_id.h"
#include "base/time.h"

namespace chestnutport::keys {

enum class OwnerState {
  kServing,
  kSuspected,  // Still owns its keys, but does not count towards the majority.
  kDraining,   // Owns no keys, and is leaving the fleet.
};

// A node on the VM of one of the service's servers.
struct OwnerNode {
  base::NodeId id;
  OwnerState state = OwnerState::kServing;

  bool operator==(const OwnerNode&) const = default;
};

struct OwnershipOptions {
  // Time for which a view may be used.
  base::Duration view_validity = std::chrono::seconds(3);
  // Time for which a new owner runs nothing. At its end all earlier views have
  // expired, provided that membership updates propagate within the difference
  // between this time and `view_validity`.
  base::Duration settling_time = std::chrono::seconds(5);
  // Time after the first use of a key in which a caller may send it again.
  base::Duration reuse_window = std::chrono::minutes(2);
  // Maximum time that a request takes to reach the owner.
  base::Duration max_transit = std::chrono::seconds(1);
};

enum class OwnershipStatus {
  kMayRun,     // Owns the key, and would have a record of any earlier use.
  kUncertain,  // Owns the key, but a previous owner may have run a
               // request with it.
  kSettling,   // Became the owner too recently to run anything.
  kNotOwner,
  kNoValidView,  // Isolated, paused, or in a minority partition.
};

struct OwnershipDecision {
  OwnershipStatus status = OwnershipStatus::kNoValidView;
  base::Duration retry_after{};  // For kUncertain and kSettling.
};

// Returns the owner by rendezvous hashing among the nodes that may own keys, or
// nullopt if there is none.
std::optional<base::NodeId> OwnerOf(uint64_t key_hash,
                                    std::span<const OwnerNode> nodes);

class KeyOwnership {
 public:
  KeyOwnership(base::NodeId self, const OwnershipOptions& options);

  // Sets the nodes of the service as known at `as_of`. Must be called several
  // times within `view_validity`, even without a change: after a longer gap
  // this node is assumed to have been paused, and its ownership starts again.
  void SetView(std::vector<OwnerNode> nodes, base::Instant as_of);

  // `key_age`: time since the key's first use, if given by the caller.
  OwnershipDecision StatusOf(uint64_t key_hash,
                             std::optional<base::Duration> key_age,
                             base::Instant now) const;

  // Whether the latest view may be used.
  bool IsValid(base::Instant now) const;

 private:
  struct View {
    base::Instant started_at;
    std::vector<OwnerNode> nodes;
  };

  bool HasMajority() const;
  // Returns the time since which this node has owned the key without
  // interruption, as far as the stored views reach.
  base::Instant OwnedSince(uint64_t key_hash) const;

  base::NodeId self_;
  OwnershipOptions options_;
  std::deque<View>
      views_;  // Newest last. Covers the reuse window and the settling time.
  base::Instant as_of_;
  base::Instant valid_since_;  // Without interruption.
  bool has_majority_ = false;
};

}  // namespace chestnutport::keys

#endif  // KEYS_KEY_OWNERSHIP_H_
