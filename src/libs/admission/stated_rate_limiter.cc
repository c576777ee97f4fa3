#include "admission/stated_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace chestnutport::admission {
namespace {

// Requests that may start together: those of this time, and one.
constexpr std::chrono::duration<double> kBurstTime(0.25);
// Rate for a server that accepts nothing. One request in four seconds shows
// when its limit has ended.
constexpr double kMinRate = 0.25;

}  // namespace

void StatedRateLimiter::SetRate(std::optional<double> rate, base::Instant now) {
  const bool was_limited = std::exchange(is_limited_, rate.has_value());
  if (!rate)
    return;
  bucket_.Settle(now);
  const double accepted = std::max(*rate, kMinRate);
  bucket_.Configure(accepted, 1 + accepted * kBurstTime.count());
  if (!was_limited)
    bucket_.Fill(now);
}

base::Duration StatedRateLimiter::TimeUntilAllowed(double requests,
                                                   int rank,
                                                   base::Instant now) const {
  return is_limited_ ? bucket_.TimeUntilAllowed(requests, rank, now)
                     : base::Duration();
}

void StatedRateLimiter::ConsumeToken(base::Instant now) {
  if (is_limited_)
    bucket_.Consume(0, now);
}

}  // namespace chestnutport::admission
