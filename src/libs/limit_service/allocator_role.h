// Divides the tenants' limits while this node has the authority to do so.
#ifndef LIMIT_SERVICE_ALLOCATOR_ROLE_H_
#define LIMIT_SERVICE_ALLOCATOR_ROLE_H_

#include <optional>
#include <span>
#include <vector>

#include "base/boot_clock.h"
#include "limit_service/at_limit_log.h"
#include "limits/allocator_election.h"
#include "limits/limit_messages.h"
#include "limits/share_allocator.h"
#include "limits/tenant_limit.h"

namespace chestnutport::limit_service {

class AllocatorRole {
 public:
  void SetLimits(std::vector<limits::TenantLimit> limits,
                 base::BootInstant now);

  // Starts, continues or stops by the authority of `election`, and passes the
  // roster on to it. Returns whether the role was started.
  bool Update(limits::AllocatorElection& election, base::BootInstant now);
  // Removes VMs that are not in `present` and hold nothing from the roster.
  void DropAbsent(const limits::Roster& present, base::BootInstant now) {
    allocator_.DropAbsent(present, now);
  }
  // Called after each store call of the election.
  void OnRosterStored(const limits::Roster& roster);
  // Stops if this node no longer has authority.
  void Stop();

  std::optional<limits::LimitAnswer> OnRequest(
      const limits::LimitRequest& request,
      base::BootInstant now);

  bool is_active() const { return allocator_.is_started(); }
  bool is_taking_over(base::BootInstant now) const {
    return allocator_.is_taking_over(now);
  }
  // Returns when Update() has to be called because time has passed.
  std::optional<base::BootInstant> NextDue(base::BootInstant now) const;
  std::vector<limits::TenantAllocationView> View(base::BootInstant now) {
    return allocator_.View(now);
  }

 private:
  void Start(const limits::Authority& authority, base::BootInstant now);
  void LogEndOfTakeover(base::BootInstant now);

  std::vector<limits::TenantLimit> limits_;
  limits::ShareAllocator allocator_;
  limits::Authority authority_;  // The last one.
  bool was_taking_over_ = false;
  AtLimitLog at_limit_log_;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_ALLOCATOR_ROLE_H_
