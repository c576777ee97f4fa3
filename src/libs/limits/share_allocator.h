// Divides the limits of tenants between the nodes; run by one node.
#ifndef LIMITS_SHARE_ALLOCATOR_H_
#define LIMITS_SHARE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/boot_clock.h"
#include "base/node_id.h"
#include "base/socket_address.h"
#include "limits/limit_messages.h"
#include "limits/tenant_allocation.h"
#include "limits/tenant_limit.h"

namespace chestnutport::limits {

using Roster = std::set<base::SocketAddress>;

// For operators.
struct TenantAllocationView {
  std::string tenant;
  double leased_rate = 0;   // Fraction.
  double leased_burst = 0;  // Fraction.
  size_t holders = 0;
  double demand = 0;  // Requests per second, of all nodes.
  double free_tokens = 0;
};

// What the nodes hold or may still hold, and what is free, never sum to more
// than each limit, provided that requests reach only the allocator of their
// epoch. Does nothing unless started and while its authority has ended.
class ShareAllocator {
 public:
  // Starts without any grants. `roster` has the VMs that may hold leases of
  // earlier allocators and those to which this one may grant: what the entry of
  // the store contains. With `takeover_until`, leases of earlier allocators may
  // be in use until then: only what nodes report to hold is renewed. The phase
  // ends early when each VM of the roster has asked twice and has reported all.
  // After the first round no earlier allocator grants any more, because a
  // process that asks this one has stopped its own. The second round has
  // reports of processes that were alive after that.
  void Start(uint64_t epoch,
             const Roster& roster,
             std::optional<base::BootInstant> takeover_until,
             base::BootInstant now);

  // Sets the end of the present authority and when its last good renewal was
  // sent; see AllocatorElection::authority(). A lease that ended after that
  // time is still counted: if this allocator has been displaced since, the new
  // one may have renewed it.
  void SetAuthority(base::BootInstant until, base::BootInstant renewed_at);

  void SetLimits(std::span<const TenantLimit> limits, base::BootInstant now);

  // Returns the answer to send; nothing for a request of another epoch, for one
  // that is older than the last of its process, or without authority.
  std::optional<LimitAnswer> OnRequest(const LimitRequest& request,
                                       base::BootInstant now);

  void Stop();

  // Removes VMs that are not in `present` from the roster, if none of their
  // processes may hold leases. The next allocator would wait for them in vain
  // during its takeover phase.
  void DropAbsent(const Roster& present, base::BootInstant now);

  // The VMs that the entry of the store should list. One that is not listed
  // there yet is granted nothing.
  const Roster& roster() const { return roster_; }
  // Whether `roster()` differs from what is stored.
  bool has_roster_changed() const { return roster_ != stored_roster_; }
  // The entry has been written with `roster`.
  void OnRosterStored(const Roster& roster);

  bool is_started() const { return epoch_ != 0; }
  bool is_taking_over(base::BootInstant now) const;

  std::vector<TenantAllocationView> View(base::BootInstant now);

 private:
  void ObserveProcess(const LimitRequest& request, base::BootInstant now);
  bool MayHoldLeases(const base::SocketAddress& vm) const;
  void AdvanceTakeover(const LimitRequest& request, base::BootInstant now);

  std::vector<TenantLimit> limits_;
  uint64_t epoch_ = 0;   // Zero: stopped.
  uint64_t serial_ = 0;  // Of the last answer.
  base::BootInstant authority_until_;
  base::BootInstant renewed_at_;
  Roster roster_;
  Roster stored_roster_;
  std::optional<base::BootInstant> takeover_until_;
  base::BootInstant earlier_leases_until_;
  // The takeover phase: VMs that have not asked in the present round. The
  // second round counts requests that follow an answer after `round_serial_`.
  Roster missing_;
  bool is_second_round_ = false;
  uint64_t round_serial_ = 0;
  absl::flat_hash_map<std::string, TenantAllocation> tenants_;
  // The processes that asked from each VM, with the serial of the last answer
  // before their last request.
  std::map<base::SocketAddress, std::map<base::NodeId, uint64_t>> processes_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_SHARE_ALLOCATOR_H_
