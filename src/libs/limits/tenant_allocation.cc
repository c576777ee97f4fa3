#include "limits/tenant_allocation.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "limits/demand_estimate.h"

namespace chestnutport::limits {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Nodes use tokens within 100 ms after they asked, or drop them. The rest is a
// margin.
constexpr milliseconds kInFlightLife{200};
// What a process wanted counts this long; processes with demand ask each
// second.
constexpr milliseconds kWantedLife{2500};
// The rest stays with the allocator, for nodes whose demand has risen and for
// tenants whose limit is too small to be divided. With 0.8, up to 30% of the
// requests of some small tenants were refused on a calm run; with 0.5, more are
// refused while no allocator answers.
constexpr double kMaxLeasedBurst = 0.6;
// Smaller buckets refuse too many requests that come together by chance; such
// nodes ask for each token. A lease is kept a little longer than it would be
// granted, so that it does not come and go.
constexpr double kMinLeasedTokens = 1.9;
constexpr double kMinKeptTokens = 1.2;

}  // namespace

void TenantAllocation::SetLimit(const TenantLimit& limit,
                                base::BootInstant now) {
  free_.Refill(now);
  limit_ = limit;
  limit_.burst = std::max(1.0, limit.burst);
  Reshape(now);
}

void TenantAllocation::Update(bool is_taking_over,
                              base::BootInstant renewed_at,
                              base::BootInstant now) {
  free_.Refill(now);
  is_taking_over_ = is_taking_over;
  std::erase_if(accounts_, [renewed_at](const auto& item) {
    return renewed_at >= item.second.until;
  });
  while (!in_flight_.empty() && now >= in_flight_.front().until)
    in_flight_.pop_front();
  Reshape(now);
}

void TenantAllocation::Reshape(base::BootInstant now) {
  if (is_taking_over_) {
    free_.SetShape(0, 0, now);
    return;
  }
  free_.SetShape(
      std::max(0.0, 1 - leased_rate()) * limit_.rate,
      std::max(0.0, 1 - leased_burst()) * limit_.burst - tokens_in_flight(),
      now);
}

std::optional<LimitAnswerEntry> TenantAllocation::Grant(
    const LimitRequest& request,
    const LimitRequestEntry& wanted,
    const GrantTerms& terms,
    base::BootInstant now) {
  Account& account = accounts_[request.process];
  if (request.sequence <= account.sequence)
    return std::nullopt;
  // Tokens are taken back only with the room that they had. If the account has
  // ended before, that room may have been filled again.
  const double returned = std::min(
      wanted.tokens_returned,
      std::max(0.0, account.burst_share - wanted.burst_share) * limit_.burst);
  account = {.sequence = request.sequence,
             .rate_wanted = wanted.rate_wanted,
             .burst_wanted = wanted.burst_wanted,
             .until = std::max(
                 {account.until, terms.until, terms.earlier_leases_until}),
             .heard_at = now};
  Shares shares;
  if (terms.may_grant && has_limit()) {
    const Shares free{1 - leased_rate(),
                      1 - leased_burst() - tokens_in_flight() / limit_.burst};
    shares = ChooseShares(wanted, terms.is_taking_over, free, now);
  }
  account.rate_share = std::max(wanted.rate_share, shares.rate);
  account.burst_share = std::max(wanted.burst_share, shares.burst);
  Reshape(now);
  free_.Add(returned);
  if (!has_limit())
    return std::nullopt;

  LimitAnswerEntry answer{.tenant = wanted.tenant,
                          .rate_share = shares.rate,
                          .burst_share = shares.burst};
  if (!terms.may_grant || terms.is_taking_over)
    return answer;
  answer.tokens = TakeTokens(wanted.tokens_needed, now);
  const double missing = wanted.tokens_needed - answer.tokens;
  // The first tokens of a new lease. Half of the free ones stay for others.
  if (missing <= 0 && wanted.burst_share == 0 && shares.burst > 0) {
    answer.tokens += TakeTokens(
        std::min(shares.burst * limit_.burst, free_.tokens() / 2), now);
  }
  if (missing > 0) {
    answer.is_over_limit = IsOverLimit(now);
    if (free_.rate() > 0) {
      answer.retry_after = std::chrono::ceil<std::chrono::nanoseconds>(Seconds(
          std::min(60.0, std::max(0.0, 1 - free_.tokens()) / free_.rate())));
    }
  }
  return answer;
}

TenantAllocation::Shares TenantAllocation::ChooseShares(
    const LimitRequestEntry& wanted,
    bool is_taking_over,
    Shares free,
    base::BootInstant now) const {
  free.rate = std::max(0.0, free.rate);
  free.burst = std::max(0.0, free.burst);
  if (is_taking_over) {
    return {std::min(wanted.rate_share, free.rate),
            std::min(wanted.burst_share, free.burst)};
  }
  const double least =
      wanted.burst_share > 0 ? kMinKeptTokens : kMinLeasedTokens;
  const Shares sum = Wanted(now);
  Shares shares{
      std::min(wanted.rate_wanted / std::max(1.0, sum.rate), free.rate),
      wanted.burst_wanted * kMaxLeasedBurst /
          std::max(kMaxLeasedBurst, sum.burst)};
  if (wanted.burst_wanted <= 0 || shares.burst > free.burst ||
      shares.burst * limit_.burst < least)
    return {};
  return shares;
}

// Whole tokens only: a node can use no other ones.
double TenantAllocation::TakeTokens(double tokens, base::BootInstant now) {
  const double taken = free_.Take(std::floor(std::min(tokens, free_.tokens())));
  if (taken > 0) {
    in_flight_.push_back({taken, now + kInFlightLife});
    Reshape(now);
  }
  return taken;
}

void TenantAllocation::Remove(base::NodeId process, base::BootInstant now) {
  free_.Refill(now);
  accounts_.erase(process);
  Reshape(now);
}

TenantAllocation::Shares TenantAllocation::Wanted(base::BootInstant now) const {
  Shares sum;
  for (const auto& [process, account] : accounts_) {
    if (now - account.heard_at < kWantedLife) {
      sum.rate += account.rate_wanted;
      sum.burst += account.burst_wanted;
    }
  }
  return sum;
}

// A process that wants the whole rate may have any demand above that.
bool TenantAllocation::IsOverLimit(base::BootInstant now) const {
  return Wanted(now).rate > kRateReserve ||
         std::ranges::any_of(accounts_, [now](const auto& item) {
           return item.second.rate_wanted >= 1 &&
                  now - item.second.heard_at < kWantedLife;
         });
}

double TenantAllocation::leased_rate() const {
  double sum = 0;
  for (const auto& [process, account] : accounts_)
    sum += account.rate_share;
  return sum;
}

double TenantAllocation::leased_burst() const {
  double sum = 0;
  for (const auto& [process, account] : accounts_)
    sum += account.burst_share;
  return sum;
}

size_t TenantAllocation::holders() const {
  return static_cast<size_t>(
      std::ranges::count_if(accounts_, [](const auto& item) {
        return item.second.rate_share > 0 || item.second.burst_share > 0;
      }));
}

double TenantAllocation::demand(base::BootInstant now) const {
  return Wanted(now).rate / kRateReserve * limit_.rate;
}

double TenantAllocation::tokens_in_flight() const {
  double sum = 0;
  for (const TokensInFlight& item : in_flight_)
    sum += item.tokens;
  return sum;
}

}  // namespace chestnutport::limits
