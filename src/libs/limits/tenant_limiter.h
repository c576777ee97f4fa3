// Decides on a node which requests of tenants are within their rate limits.
#ifndef LIMITS_TENANT_LIMITER_H_
#define LIMITS_TENANT_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/boot_clock.h"
#include "base/node_id.h"
#include "base/socket_address.h"
#include "limits/limit_messages.h"
#include "limits/tenant_limit.h"
#include "limits/tenant_share.h"

namespace chestnutport::limits {

enum class DecisionKind {
  kAdmitted,
  kWait,      // TakeReady() returns the request within 100 ms.
  kRejected,  // Over the limit: 429.
  kUnknown,   // No lease and no answer of an allocator: 503.
};

struct Decision {
  DecisionKind kind = DecisionKind::kAdmitted;
  std::chrono::nanoseconds retry_after{};  // Set for kRejected and kUnknown.
};

// A request that waited. Never kWait.
struct ReadyRequest {
  RequestId id = 0;
  Decision decision;
};

// For operators and metrics.
struct TenantLimiterView {
  std::string tenant;
  double rate_share = 0;
  double burst_share = 0;
  double tokens = 0;
  uint64_t admitted = 0;  // Since the start; refunds are not subtracted.
  uint64_t refunded = 0;
  uint64_t rejected = 0;  // Over the limit.
  uint64_t unknown = 0;   // No allocator answered.
  size_t waiting = 0;
};

// Times are of this VM's boot clock. The memory is that of the tenants with a
// limit and of the requests that wait.
class TenantLimiter {
 public:
  TenantLimiter(base::NodeId process, base::SocketAddress vm);

  // Takes over a new configuration. Shares held are kept; tokens above a
  // lowered capacity are lost. Waiting requests of tenants that no longer have
  // a limit are admitted by the next TakeReady().
  void SetLimits(std::span<const TenantLimit> limits, base::BootInstant now);

  // Names the allocator to ask; an epoch that is not higher than the present
  // one is ignored. Answers to requests of an earlier epoch are ignored from
  // now on. An allocator with a lower epoch in this process must have been
  // stopped before this call. Sends nothing while the epoch is zero.
  void SetAllocator(uint64_t epoch, base::BootInstant now);

  // Decides on a new request of `tenant`. If the decision is kWait, TakeReady()
  // returns `waiting_id` within 100 ms unless Cancel() is called before.
  Decision Admit(std::string_view tenant,
                 base::BootInstant now,
                 RequestId waiting_id);

  // Forgets a waiting request, for instance because its caller is gone.
  void Cancel(RequestId waiting_id);

  // Returns the token of an admitted request that certainly did not run.
  void Refund(std::string_view tenant, base::BootInstant now);

  // Returns what to send to the allocator of SetAllocator() now: each second
  // for tenants with demand, and at once, at most each 20 ms, for waiting
  // requests. An idle node returns nothing, except once to a new allocator.
  std::vector<LimitRequest> RequestsDue(base::BootInstant now);

  void OnAnswer(const LimitAnswer& answer, base::BootInstant now);

  // Returns the waiting requests that are decided now.
  std::vector<ReadyRequest> TakeReady(base::BootInstant now);

  // Returns when to call RequestsDue() and TakeReady() next, or nothing if only
  // Admit(), OnAnswer() or SetAllocator() can change what they return. After
  // those three, ask again.
  std::optional<base::BootInstant> NextDue() const;

  std::vector<TenantLimiterView> View(base::BootInstant now);

  uint64_t epoch() const { return epoch_; }

 private:
  using Shares = std::vector<TenantShare*>;

  TenantShare* Find(std::string_view tenant);
  void Activate(TenantShare& share, base::BootInstant now);
  // Removes tenants without demand and lease from `active_`.
  void Deactivate(base::BootInstant now);
  bool IsConfirmationDue(base::BootInstant now) const;
  // Returns the tenants to ask for.
  Shares CollectShares(base::BootInstant now);
  LimitRequest MakeRequest();
  // Whether `request` completes what the allocator must know of this process.
  bool HasReportedAll(const LimitRequest& request) const;
  void DecideWaiting(TenantShare& share,
                     base::BootInstant now,
                     std::vector<ReadyRequest>& ready);
  static Decision Refuse(TenantShare& share, DecisionKind kind);

  base::NodeId process_;
  base::SocketAddress vm_;
  absl::flat_hash_map<std::string, std::unique_ptr<TenantShare>> tenants_;
  Shares active_;                       // With demand or a lease.
  Shares waiting_;                      // With waiting requests.
  std::vector<ReadyRequest> released_;  // Their limits were removed.
  absl::flat_hash_map<RequestId, TenantShare*> waiting_ids_;
  uint64_t epoch_ = 0;
  uint64_t last_answer_ = 0;
  uint64_t sequence_ = 0;
  std::optional<base::BootInstant> regular_due_;
  // Set until the allocator has ended its takeover phase.
  std::optional<base::BootInstant> confirmation_due_;
  base::BootInstant confirm_until_;
  base::BootInstant urgent_not_before_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_TENANT_LIMITER_H_
