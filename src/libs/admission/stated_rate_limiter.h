// Limits the request rate of a server to the one that the server states. All
// requests pass through the gate of its node, so the count is exact.
#ifndef ADMISSION_STATED_RATE_LIMITER_H_
#define ADMISSION_STATED_RATE_LIMITER_H_

#include <optional>

#include "admission/token_bucket.h"
#include "base/time.h"

namespace chestnutport::admission {

class StatedRateLimiter {
 public:
  // Sets the requests per second that the server accepts; nothing if unlimited.
  void SetRate(std::optional<double> rate, base::Instant now);

  bool IsLimited() const { return is_limited_; }
  // Returns the time until the last of `requests` may be sent to the server;
  // zero if the rate is not limited.
  base::Duration TimeUntilAllowed(double requests,
                                  int rank,
                                  base::Instant now) const;
  // Call when a request was sent to the server.
  void ConsumeToken(base::Instant now);

 private:
  bool is_limited_ = false;
  TokenBucket bucket_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_STATED_RATE_LIMITER_H_
