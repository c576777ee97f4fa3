#include "limits/tenant_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutport::limits {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// A node wants a burst of one token and of this time of its demand.
constexpr Seconds kBurstTime{0.5};
// A tenant without demand for this time gives up its lease.
constexpr std::chrono::seconds kDemandMemory{2};
// Tokens for waiting requests are dropped this long after they were asked for.
constexpr milliseconds kUrgentTokenLife{100};
// How long a verdict that demand exceeds the limit holds.
constexpr milliseconds kOverLimitLife{200};
// An allocator that answered within this time is taken to know the limit.
constexpr std::chrono::seconds kAnswerMemory{1};
// An answer is taken for lost after this time. Round trips take up to 20 ms,
// and a new request makes the answer to the last one void.
constexpr milliseconds kAnswerTimeout{45};
// An allocator that takes over has no tokens to give for some time.
constexpr milliseconds kTakeoverPause{50};
constexpr Seconds kMaxRetryTime{60.0};

std::chrono::nanoseconds ToNanoseconds(Seconds time) {
  return std::chrono::ceil<std::chrono::nanoseconds>(
      std::clamp(time, Seconds(0), kMaxRetryTime));
}

}  // namespace

void TenantShare::SetLimit(const TenantLimit& limit, base::BootInstant now) {
  Update(now);
  limit_ = limit;
  limit_.burst = std::max(1.0, limit.burst);
  SetShares(rate_share_, burst_share_, now);
  to_return_ = 0;
}

void TenantShare::SetShares(double rate_share,
                            double burst_share,
                            base::BootInstant now) {
  rate_share_ = rate_share;
  burst_share_ = burst_share;
  bucket_.Refill(now);
  const double before = bucket_.tokens();
  bucket_.SetShape(rate_share * limit_.rate, burst_share * limit_.burst, now);
  to_return_ += before - bucket_.tokens();
}

void TenantShare::Update(base::BootInstant now) {
  updated_at_ = now;
  if (now >= urgent_until_)
    urgent_tokens_ = 0;
  if (HasLease() && now >= lease_until_) {
    SetShares(0, 0, now);
    to_return_ = 0;
  } else {
    bucket_.Refill(now);
  }
}

bool TenantShare::TakeToken() {
  if (urgent_tokens_ >= 1) {
    urgent_tokens_ -= 1;
    return true;
  }
  if (urgent_tokens_ + bucket_.tokens() < 1)
    return false;
  bucket_.Take(1 - urgent_tokens_);
  urgent_tokens_ = 0;
  return true;
}

void TenantShare::ReturnToken() {
  bucket_.Add(1);
}

std::chrono::nanoseconds TenantShare::TimeToToken() const {
  if (const auto at = NextTokenAt())
    return std::max(*at - updated_at_, std::chrono::nanoseconds(0));
  if (retry_at_ && *retry_at_ > updated_at_)
    return *retry_at_ - updated_at_;
  return ToNanoseconds(Seconds(1 / limit_.rate));
}

std::optional<base::BootInstant> TenantShare::NextTokenAt() const {
  if (bucket_.rate() <= 0 || bucket_.capacity() < 1)
    return std::nullopt;
  const double missing = std::max(0.0, 1 - bucket_.tokens());
  return updated_at_ + ToNanoseconds(Seconds(missing / bucket_.rate()));
}

LimitRequestEntry TenantShare::Ask(uint64_t sequence, base::BootInstant now) {
  const double arrivals = HasDemand(now) ? demand_.PerSecond(now) : 0;
  LimitRequestEntry entry{.tenant = limit_.name};
  if (HasDemand(now)) {
    entry.rate_wanted = std::min(1.0, kRateReserve * arrivals / limit_.rate);
    entry.burst_wanted =
        std::min(1.0, (1 + kBurstTime.count() * arrivals) / limit_.burst);
  }
  SetShares(std::min(rate_share_, entry.rate_wanted),
            std::min(burst_share_, entry.burst_wanted), now);
  entry.rate_share = rate_share_;
  entry.burst_share = burst_share_;
  entry.tokens_needed =
      std::ceil(std::max(0.0, static_cast<double>(waiting_.size()) - tokens()));
  entry.tokens_returned = std::exchange(to_return_, 0);
  asked_sequence_ = sequence;
  asked_at_ = now;
  return entry;
}

void TenantShare::Accept(const LimitAnswer& answer,
                         const LimitAnswerEntry& entry,
                         base::BootInstant now) {
  if (asked_sequence_ == 0 || answer.sequence != asked_sequence_)
    return;
  asked_sequence_ = 0;
  Update(now);
  // While leases of an earlier allocator are in use, a lease that ended since
  // the request was made may belong to another node by now.
  const double rate = answer.is_taking_over
                          ? std::min(entry.rate_share, rate_share_)
                          : entry.rate_share;
  const double burst = answer.is_taking_over
                           ? std::min(entry.burst_share, burst_share_)
                           : entry.burst_share;
  lease_until_ = asked_at_ + answer.remaining;
  SetShares(rate, burst, now);
  is_reported_ = true;
  ask_not_before_ = {};
  if (answer.is_taking_over)
    ask_not_before_ = now + kTakeoverPause;
  answered_at_ = now;
  urgent_until_ = std::min(
      lease_until_, asked_at_ + std::chrono::nanoseconds(kUrgentTokenLife));
  // Tokens that are left from an earlier answer do not live any longer.
  bucket_.Add(urgent_tokens_);
  urgent_tokens_ = now < urgent_until_ ? bucket_.Add(entry.tokens) : 0;
  over_limit_until_.reset();
  if (entry.is_over_limit)
    over_limit_until_ = now + kOverLimitLife;
  retry_at_.reset();
  if (entry.retry_after)
    retry_at_ = now + *entry.retry_after;
  Update(now);
}

void TenantShare::ChangeAllocator() {
  urgent_tokens_ = 0;
  to_return_ = 0;
  asked_sequence_ = 0;
  ask_not_before_ = {};
  is_reported_ = false;
}

bool TenantShare::HasDemand(base::BootInstant now) const {
  return !waiting_.empty() || (demand_.last_arrival() &&
                               now - *demand_.last_arrival() < kDemandMemory);
}

bool TenantShare::IsOverLimit(base::BootInstant now) const {
  return over_limit_until_ && now < *over_limit_until_;
}

bool TenantShare::HasRecentAnswer(base::BootInstant now) const {
  return answered_at_ && now - *answered_at_ < kAnswerMemory;
}

bool TenantShare::IsAnswerDue(base::BootInstant now) const {
  return asked_sequence_ != 0 && now < asked_at_ + kAnswerTimeout;
}

base::BootInstant TenantShare::AskAgainAt() const {
  return asked_sequence_ == 0 ? ask_not_before_ : asked_at_ + kAnswerTimeout;
}

}  // namespace chestnutport::limits
