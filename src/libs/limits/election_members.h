// The members as the election of the allocator sees them: who is alive, since
// when somebody is not, and whose turn it is.
#ifndef LIMITS_ELECTION_MEMBERS_H_
#define LIMITS_ELECTION_MEMBERS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/boot_clock.h"
#include "base/node_id.h"
#include "base/socket_address.h"

namespace chestnutport::limits {

// Members are passed in the order of duties::StoreDutyOrder, including this
// node.
struct ElectionMember {
  base::NodeId id;
  base::SocketAddress vm;
  bool is_alive = false;
  bool can_do_store_duty = false;
};

class ElectionMembers {
 public:
  // Members that are not alive are remembered for `memory`.
  ElectionMembers(base::NodeId self,
                  base::SocketAddress vm,
                  std::chrono::nanoseconds memory);

  // Call it at each change, and at the start.
  void Set(std::vector<ElectionMember> members, base::BootInstant now);

  // When Set() was called first; nothing before.
  std::optional<base::BootInstant> started_at() const { return started_at_; }
  bool IsAlive(base::NodeId id) const;
  // How long a node has not been alive in this node's view.
  std::chrono::nanoseconds AbsentFor(base::NodeId id,
                                     base::BootInstant now) const;
  // Whether at least half of the VMs have a node that is alive.
  bool SeesHalfOf(const std::set<base::SocketAddress>& vms) const;
  // The candidates before this node; nothing if it is no candidate itself.
  std::optional<size_t> OwnRank() const;
  // Adds the VMs of all nodes that are alive, and the own one.
  void AddVmsTo(std::set<base::SocketAddress>& vms) const;

 private:
  base::NodeId self_;
  base::SocketAddress vm_;
  std::chrono::nanoseconds memory_;
  std::vector<ElectionMember> members_;
  std::map<base::NodeId, base::BootInstant> last_alive_;
  std::optional<base::BootInstant> started_at_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_ELECTION_MEMBERS_H_
