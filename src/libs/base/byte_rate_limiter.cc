#include "base/byte_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace chestnutport::base {

ByteRateLimiter::ByteRateLimiter(size_t per_second,
                                 size_t burst,
                                 base::Instant now)
    : per_second_(static_cast<double>(per_second)),
      burst_(static_cast<double>(burst)),
      balance_(burst_),
      filled_at_(now) {}

bool ByteRateLimiter::HasTokens(base::Instant now) {
  const std::chrono::duration<double> passed = now - filled_at_;
  filled_at_ = std::max(filled_at_, now);
  if (passed.count() > 0)
    balance_ = std::min(burst_, balance_ + passed.count() * per_second_);
  return balance_ > 0;
}

void ByteRateLimiter::Consume(size_t bytes) {
  balance_ -= static_cast<double>(bytes);
}

base::Instant ByteRateLimiter::NextAvailable() const {
  const std::chrono::duration<double> wait(std::max(0.0, 1 - balance_) /
                                           per_second_);
  return filled_at_ + std::chrono::duration_cast<base::Duration>(wait) +
         std::chrono::microseconds(1);
}

}  // namespace chestnutport::base
