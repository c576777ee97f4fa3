// How the allocator divides the limit of one tenant.
#ifndef LIMITS_TENANT_ALLOCATION_H_
#define LIMITS_TENANT_ALLOCATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/boot_clock.h"
#include "base/node_id.h"
#include "limits/limit_messages.h"
#include "limits/tenant_limit.h"
#include "limits/token_bucket.h"

namespace chestnutport::limits {

// What an allocator may grant at the time of a request.
struct GrantTerms {
  bool may_grant = true;        // Otherwise the process is to give up all.
  bool is_taking_over = false;  // Only what is reported is renewed.
  base::BootInstant until;      // End of the authority.
  // End of leases that earlier allocators granted.
  base::BootInstant earlier_leases_until;
};

class TenantAllocation {
 public:
  // Without a rate, nothing is granted, but accounts are kept.
  void SetLimit(const TenantLimit& limit, base::BootInstant now);

  // Ends accounts whose leases had ended at `renewed_at`, when the authority
  // was last renewed, and fills the bucket of the free part. Nothing is free
  // while `is_taking_over`. Call it before the other functions.
  void Update(bool is_taking_over,
              base::BootInstant renewed_at,
              base::BootInstant now);

  // Returns nothing if the request is not newer than the last of its process.
  std::optional<LimitAnswerEntry> Grant(const LimitRequest& request,
                                        const LimitRequestEntry& wanted,
                                        const GrantTerms& terms,
                                        base::BootInstant now);

  // Removes the account of a process that is known to have ended.
  void Remove(base::NodeId process, base::BootInstant now);

  double leased_rate() const;
  double leased_burst() const;
  size_t holders() const;
  bool HasAccounts() const { return !accounts_.empty(); }
  // Whether the process may hold a part of the limit.
  bool HasAccountOf(base::NodeId process) const {
    return accounts_.contains(process);
  }
  // Requests per second of the processes that asked recently.
  double demand(base::BootInstant now) const;
  double free_tokens() const { return free_.tokens(); }
  bool has_limit() const { return limit_.rate > 0; }

 private:
  // The greater of what a process reported and what it was granted.
  struct Account {
    uint64_t sequence = 0;
    double rate_share = 0;
    double burst_share = 0;
    double rate_wanted = 0;
    double burst_wanted = 0;
    base::BootInstant until;
    base::BootInstant heard_at;
  };

  // Tokens on their way to a node, which still need room in the free part.
  struct TokensInFlight {
    double tokens = 0;
    base::BootInstant until;
  };

  struct Shares {
    double rate = 0;
    double burst = 0;
  };

  void Reshape(base::BootInstant now);
  double tokens_in_flight() const;
  Shares Wanted(base::BootInstant now) const;
  Shares ChooseShares(const LimitRequestEntry& wanted,
                      bool is_taking_over,
                      Shares free,
                      base::BootInstant now) const;
  double TakeTokens(double tokens, base::BootInstant now);
  bool IsOverLimit(base::BootInstant now) const;

  TenantLimit limit_;
  bool is_taking_over_ = true;
  // Ordered, so that sums of the same shares are always the same.
  std::map<base::NodeId, Account> accounts_;
  std::deque<TokensInFlight> in_flight_;  // Oldest first.
  TokenBucket free_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_TENANT_ALLOCATION_H_
