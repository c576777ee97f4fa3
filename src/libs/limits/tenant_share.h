// What one node holds of one tenant's limit, and what it needs.
#ifndef LIMITS_TENANT_SHARE_H_
#define LIMITS_TENANT_SHARE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/boot_clock.h"
#include "limits/demand_estimate.h"
#include "limits/limit_messages.h"
#include "limits/tenant_limit.h"
#include "limits/token_bucket.h"

namespace chestnutport::limits {

using RequestId = uint64_t;

struct WaitingRequest {
  RequestId id = 0;
  base::BootInstant since;
};

// A token bucket with the shape of the lease, which is empty once the lease has
// ended, and tokens for waiting requests, which must be used soon.
class alignas(64) TenantShare {
 public:
  void SetLimit(const TenantLimit& limit, base::BootInstant now);

  // Ends an expired lease, fills the bucket and drops unused tokens. Call it
  // before the other functions.
  void Update(base::BootInstant now);
  // Returns whether there was a token.
  bool TakeToken();
  void ReturnToken();
  // Time to the next token of the lease; if there is none, what the allocator
  // said, or the time in which the whole limit yields one.
  std::chrono::nanoseconds TimeToToken() const;

  // Lowers what is held to what is wanted, and returns what to ask for.
  LimitRequestEntry Ask(uint64_t sequence, base::BootInstant now);
  // Takes an answer to the last request; others are ignored.
  void Accept(const LimitAnswer& answer,
              const LimitAnswerEntry& entry,
              base::BootInstant now);
  // Drops what is only valid with the present allocator: tokens for waiting
  // requests, and the expectation of an answer.
  void ChangeAllocator();

  bool HasLease() const { return rate_share_ > 0 || burst_share_ > 0; }
  // Whether the present allocator has answered since the lease was reported.
  bool IsReported() const { return is_reported_; }
  bool IsAsked(uint64_t sequence) const { return asked_sequence_ == sequence; }
  bool HasDemand(base::BootInstant now) const;
  // Whether the allocator said recently that demand exceeds the limit.
  bool IsOverLimit(base::BootInstant now) const;
  bool HasRecentAnswer(base::BootInstant now) const;
  // Whether an answer to the last request may still come in time.
  bool IsAnswerDue(base::BootInstant now) const;
  // When to ask for tokens for the waiting requests.
  base::BootInstant AskAgainAt() const;
  // When the lease yields the next token, if it does.
  std::optional<base::BootInstant> NextTokenAt() const;

  void AddDemand(base::BootInstant now) { demand_.Add(now); }
  std::vector<WaitingRequest>& waiting() { return waiting_; }
  const std::vector<WaitingRequest>& waiting() const { return waiting_; }

  const TenantLimit& limit() const { return limit_; }
  double rate_share() const { return rate_share_; }
  double burst_share() const { return burst_share_; }
  double tokens() const { return bucket_.tokens() + urgent_tokens_; }

 private:
  void SetShares(double rate_share, double burst_share, base::BootInstant now);

  // What Admit() uses comes first, so that it takes few cache lines.
  TokenBucket bucket_;
  base::BootInstant updated_at_;
  base::BootInstant lease_until_;
  double rate_share_ = 0;
  double burst_share_ = 0;
  double urgent_tokens_ = 0;
  base::BootInstant urgent_until_;
  std::vector<WaitingRequest> waiting_;  // Oldest first.

 public:
  uint64_t admitted = 0;
  // For TenantLimiter: whether it is in the list of tenants to ask for.
  bool is_active = false;

 private:
  DemandEstimate demand_;
  std::optional<base::BootInstant> over_limit_until_;
  TenantLimit limit_;
  // Tokens of the part of the lease that was given up since the last request.
  // The allocator still counts their room as held, so none are added.
  double to_return_ = 0;
  uint64_t asked_sequence_ = 0;  // Zero: no answer is expected.
  base::BootInstant asked_at_;
  base::BootInstant ask_not_before_;
  bool is_reported_ = false;
  std::optional<base::BootInstant> answered_at_;
  std::optional<base::BootInstant> retry_at_;

 public:
  uint64_t refunded = 0;
  uint64_t rejected = 0;
  uint64_t unknown = 0;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_TENANT_SHARE_H_
