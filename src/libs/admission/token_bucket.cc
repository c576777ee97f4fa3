#include "admission/token_bucket.h"

#include <algorithm>

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using Seconds = std::chrono::duration<double>;

// Tolerance for floating-point rounding when tokens are compared.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

void TokenBucket::Configure(double rate, double capacity) {
  rate_ = rate;
  capacity_ = std::max(1.0, capacity);
  tokens_ = std::min(tokens_, capacity_);
}

void TokenBucket::Fill(Instant now) {
  tokens_ = capacity_;
  updated_at_ = now;
}

void TokenBucket::Settle(Instant now) {
  tokens_ = TokensAt(now);
  updated_at_ = std::max(updated_at_, now);
}

void TokenBucket::Consume(double least, Instant now) {
  Settle(now);
  tokens_ = std::max(tokens_ - 1, least);
}

double TokenBucket::TokensAt(Instant now) const {
  const double earned =
      Seconds(std::max<Duration>(now - updated_at_, Duration())).count() *
      rate_;
  return std::min(tokens_ + earned, capacity_);
}

double TokenBucket::ReservedTokens(int rank) const {
  return (capacity_ - 1) * std::clamp(rank, 0, kRankCount - 1) / kRankCount;
}

Duration TokenBucket::TimeUntilAllowed(double requests,
                                       int rank,
                                       Instant now) const {
  const double missing =
      requests + ReservedTokens(rank) - TokensAt(now) - kRoundingTolerance;
  if (missing <= 0)
    return {};
  return std::chrono::ceil<Duration>(Seconds(missing / rate_));
}

}  // namespace chestnutport::admission
