// Which node of a service owns an idempotency key: the only one that runs
// requests with it. Pure: views of the fleet and times are passed in.
//
// Nothing is agreed between nodes. Two of them are kept from running the same
// key by time: a node acts on a view of the fleet for `validity` only, a new
// owner waits for `settle`, which is longer, and it runs only keys that it can
// tell to be younger than its ownership.
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
  kSuspected,  // Still the owner of its keys, but does not count as present.
  kDraining,   // Owns no keys any more; leaves in good order.
};

// A node beside a server of the service.
struct OwnerNode {
  base::NodeId id;
  OwnerState state = OwnerState::kServing;

  bool operator==(const OwnerNode&) const = default;
};

struct OwnershipOptions {
  // A view is not acted on for longer.
  base::Duration view_validity = std::chrono::seconds(3);
  // A new owner runs nothing before; all views of the time before have lost
  // their validity by then, if news spreads within the difference.
  base::Duration settling_time = std::chrono::seconds(5);
  // How long a caller may send the same key again after its first use.
  base::Duration reuse_window = std::chrono::minutes(2);
  // A request may be on its way to its owner for so long.
  base::Duration max_transit = std::chrono::seconds(1);
};

enum class OwnershipStatus {
  kMayRun,     // The owner, which would know of an earlier use.
  kUncertain,  // The owner, but an earlier one may have run the key.
  kSettling,   // The owner, too recently to run anything.
  kNotOwner,
  kNoValidView,  // Cut off, paused, or in a minority.
};

struct OwnershipDecision {
  OwnershipStatus status = OwnershipStatus::kNoValidView;
  base::Duration retry_after{};  // Of kUncertain and kSettling.
};

// The owner by rendezvous hash among those that own keys; nothing if there is
// none.
std::optional<base::NodeId> OwnerOf(uint64_t key_hash,
                                    std::span<const OwnerNode> nodes);

class KeyOwnership {
 public:
  KeyOwnership(base::NodeId self, const OwnershipOptions& options);

  // The nodes of the service as known at `as_of`. To be repeated several times
  // within the validity, also without a change: after a longer gap this node
  // was paused, and owns its keys anew.
  void SetView(std::vector<OwnerNode> nodes, base::Instant as_of);

  // `key_age`: time since the key's first use, if the caller tells it.
  OwnershipDecision StatusOf(uint64_t key_hash,
                             std::optional<base::Duration> key_age,
                             base::Instant now) const;

  // Whether the newest view may be acted on.
  bool IsValid(base::Instant now) const;

 private:
  struct View {
    base::Instant started_at;
    std::vector<OwnerNode> nodes;
  };

  bool HasMajority() const;
  // Since when this node has owned the key without a break, as far as views
  // are kept.
  base::Instant OwnedSince(uint64_t key_hash) const;

  base::NodeId self_;
  OwnershipOptions options_;
  std::deque<View> views_;  // Newest last; those of the last window.
  base::Instant as_of_;
  base::Instant valid_since_;  // Without a break.
  bool has_majority_ = false;
};

}  // namespace chestnutport::keys

#endif  // KEYS_KEY_OWNERSHIP_H_
