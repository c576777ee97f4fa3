// A token bucket that is filled by the boot clock.
#ifndef LIMITS_TOKEN_BUCKET_H_
#define LIMITS_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "base/boot_clock.h"

namespace chestnutport::limits {

// Starts empty. Tokens are created only by the passing of time, so moving
// tokens between buckets never adds any.
class TokenBucket {
 public:
  // Fills the bucket up to `now`. Has no effect if `now` is in the past.
  void Refill(base::BootInstant now) {
    if (now <= filled_at_)
      return;
    const std::chrono::duration<double> time = now - filled_at_;
    tokens_ = std::min(capacity_, tokens_ + rate_ * time.count());
    filled_at_ = now;
  }

  // Fills the bucket up to `now` at the old rate. Tokens above the new capacity
  // are lost. `rate` is in tokens per second.
  void SetShape(double rate, double capacity, base::BootInstant now) {
    Refill(now);
    filled_at_ = std::max(filled_at_, now);
    rate_ = rate;
    capacity_ = std::max(0.0, capacity);
    tokens_ = std::min(tokens_, capacity_);
  }

  // Adds tokens up to the capacity; returns those that did not fit.
  double Add(double tokens) {
    const double added = std::clamp(capacity_ - tokens_, 0.0, tokens);
    tokens_ += added;
    return tokens - added;
  }

  // Takes at most `tokens`; returns how many were taken.
  double Take(double tokens) {
    const double taken = std::clamp(tokens, 0.0, tokens_);
    tokens_ -= taken;
    return taken;
  }

  double tokens() const { return tokens_; }
  double rate() const { return rate_; }
  double capacity() const { return capacity_; }

 private:
  double rate_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;
  base::BootInstant filled_at_;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_TOKEN_BUCKET_H_
