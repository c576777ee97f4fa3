// A token bucket that limits the bytes a node sends.
#ifndef BASE_BYTE_RATE_LIMITER_H_
#define BASE_BYTE_RATE_LIMITER_H_

#include <cstddef>

#include "base/time.h"

namespace chestnutport::base {

class ByteRateLimiter {
 public:
  ByteRateLimiter(size_t per_second, size_t burst, base::Instant now);

  // Refills the bucket and returns whether anything may be sent now.
  bool HasTokens(base::Instant now);
  // The balance may go below zero by one datagram.
  void Consume(size_t bytes);
  base::Instant NextAvailable() const;

 private:
  double per_second_;
  double burst_;
  double balance_;
  base::Instant filled_at_;
};

}  // namespace chestnutport::base

#endif  // BASE_BYTE_RATE_LIMITER_H_
