// Simulates nodes that own idempotency keys, with views of the fleet that
// propagate with delay, and callers that reuse keys through any node.
#ifndef KEYS_KEY_SIMULATION_H_
#define KEYS_KEY_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/random.h"
#include "keys/key_ownership.h"
#include "keys/key_record_store.h"

namespace chestnutport::test {

enum class KeyEventKind : uint8_t {
  kAdvanceTime,
  kFirstUse,
  kRepeatedUse,
  kRequestEnds,
  kFreeze,
  kResume,
  kReplace,
  kPartition,
  kHealPartition,
  kCount,
};

struct KeyEvent {
  KeyEventKind kind = KeyEventKind::kAdvanceTime;
  uint32_t pick = 0;
};

// Whether nodes may join during a partition. Such a node does not know the
// nodes on the other side, so it cannot tell that its side is the minority.
enum class JoinPolicy { kNotWhilePartitioned, kAnyTime };

class KeySimulation {
 public:
  explicit KeySimulation(
      const keys::OwnershipOptions& options,
      JoinPolicy join_policy = JoinPolicy::kNotWhilePartitioned);

  // Whether a key ran twice.
  bool RunsTwice(const std::vector<KeyEvent>& events);
  int runs() const { return runs_; }
  int uses() const { return uses_; }

 private:
  struct Key {
    uint64_t hash = 0;
    base::Instant first_use;
    int runs = 0;
  };
  struct Running {
    uint64_t node = 0;
    size_t key = 0;
  };
  struct Node {
    base::NodeId id;
    bool is_frozen = false;
    bool is_partitioned = false;
    keys::KeyOwnership ownership;
    keys::KeyRecordStore ledger{keys::KeyRecordLimits{}};
    std::map<base::NodeId, keys::OwnerState> view;
  };
  // A pending change of the state of `subject` in the view of `observer`.
  // Without `state`, the subject is removed.
  struct ViewUpdate {
    base::Instant when;
    base::NodeId observer;
    base::NodeId subject;
    std::optional<keys::OwnerState> state;
  };

  void ApplyEvent(const KeyEvent& event);
  Node& Add();
  Node* Find(base::NodeId id);
  bool CanReach(const Node& a, const Node& b) const;
  // Schedules view updates for all changes of reachability between nodes.
  void UpdateReachability();
  void ScheduleViewUpdate(base::NodeId observer,
                          base::NodeId subject,
                          bool is_reached);
  void AdvanceTime();
  void SendRequest(size_t key, uint32_t pick);
  void EndRequest(uint32_t pick);

  keys::OwnershipOptions options_;
  JoinPolicy join_policy_;
  base::Random random_{5};
  base::Instant now_ = base::Instant(std::chrono::hours(1));
  uint64_t last_id_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<ViewUpdate> view_updates_;
  std::map<std::pair<base::NodeId, base::NodeId>, bool> reachability_;
  std::vector<Key> keys_;
  std::vector<Running> running_;
  int runs_ = 0;
  int uses_ = 0;
};

}  // namespace chestnutport::test

#endif  // KEYS_KEY_SIMULATION_H_
