// The limits on a server's request rate: that of a cold server, and the one
// that it states. Both apply.
#ifndef ADMISSION_RATE_LIMITS_H_
#define ADMISSION_RATE_LIMITS_H_

#include <algorithm>

#include "admission/cold_start_limiter.h"
#include "admission/stated_rate_limiter.h"
#include "admission/token_bucket.h"
#include "base/time.h"

namespace chestnutport::admission {

class RateLimits {
 public:
  explicit RateLimits(const ColdStartOptions& cold) : cold_(cold) {}

  ColdStartLimiter& cold() { return cold_; }
  const ColdStartLimiter& cold() const { return cold_; }
  StatedRateLimiter& stated() { return stated_; }

  bool IsLimited(base::Instant now) const {
    return cold_.IsLimited(now) || stated_.IsLimited();
  }
  // Returns the time until the last of `requests` of this rank may be sent to
  // the server, one after the other; zero if no limit applies.
  base::Duration TimeUntilAllowed(double requests,
                                  int rank,
                                  base::Instant now) const {
    return std::max(cold_.TimeUntilAllowed(requests, rank, now),
                    stated_.TimeUntilAllowed(requests, rank, now));
  }
  // Returns whether a request of this rank may be sent now. Less urgent ranks
  // leave part of the burst to more urgent ones, so that the small capacity
  // goes to the most urgent requests, regardless of their order of arrival.
  bool MayStart(int rank, base::Instant now) const {
    return TimeUntilAllowed(1, rank, now) == base::Duration();
  }
  // Returns the least urgent rank that may start now, or a negative number if
  // none may.
  int LeastUrgentRankAllowed(base::Instant now) const {
    int rank = TokenBucket::kRankCount - 1;
    while (rank >= 0 && !MayStart(rank, now))
      --rank;
    return rank;
  }
  // Call when a request was sent to the server.
  void ConsumeTokens(base::Instant now) {
    cold_.ConsumeToken(now);
    stated_.ConsumeToken(now);
  }

 private:
  ColdStartLimiter cold_;
  StatedRateLimiter stated_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_RATE_LIMITS_H_
