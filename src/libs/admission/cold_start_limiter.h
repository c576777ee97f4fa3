// Limits the request rate of a cold server with a token bucket. A server is
// cold after a start, or while it reports so; it crashes if it gets many more
// requests than it tolerates. All requests pass through the gate of its node,
// so the count is exact.
#ifndef ADMISSION_COLD_START_LIMITER_H_
#define ADMISSION_COLD_START_LIMITER_H_

#include "admission/token_bucket.h"
#include "base/time.h"

namespace chestnutport::admission {

struct ColdStartOptions {
  // Requests per second that a cold server may get; 0 means no limit.
  double rate = 0;
  // Requests on top of the rate in any period, for those that arrive together.
  double burst = 0;
  // How long a started server is assumed cold unless it reports otherwise.
  base::Duration after_start{};

  bool operator==(const ColdStartOptions&) const = default;
};

class ColdStartLimiter {
 public:
  explicit ColdStartLimiter(const ColdStartOptions& options) {
    set_options(options);
  }

  void set_options(const ColdStartOptions& options);

  // The server has just started.
  void OnServerStarted(base::Instant now);
  // The server reported at `reported_at` that it stays cold for `remaining`.
  // Supersedes earlier reports.
  void OnReported(base::Duration remaining, base::Instant reported_at);
  // A health check reported no cold state. Ends an assumed cold state, but not
  // a reported one.
  void OnHealthyWithoutReport(base::Instant now);
  // Assumes that the server may have become cold, until it reports at `now` or
  // later that it is not.
  void AssumeCold(base::Instant now);

  bool IsCold(base::Instant now) const;
  // Returns whether the server is cold and a rate limit applies.
  bool IsLimited(base::Instant now) const;
  // Returns whether the server is cold and got more requests than it tolerates,
  // usually because they were sent before it reported the cold state.
  bool IsOverRateLimit(base::Instant now) const;
  // The end of the cold state, as far as it is known.
  base::Instant cold_until() const { return cold_until_; }
  // The rate limit of a cold server per second, with the safety margin; 0 means
  // no limit.
  double rate() const { return options_.rate; }

  bool MayStart(int rank, base::Instant now) const {
    return TimeUntilAllowed(1, rank, now) == base::Duration();
  }
  // Returns the time until the last of `requests` may be sent to the server,
  // one after the other; zero if no rate limit applies.
  base::Duration TimeUntilAllowed(double requests,
                                  int rank,
                                  base::Instant now) const;
  // Call when a request or a probe was sent to the server.
  void ConsumeToken(base::Instant now);

 private:
  ColdStartOptions options_;
  base::Instant cold_until_;
  base::Instant reported_at_;
  bool is_assumed_ = false;  // The cold state is assumed, not reported.
  // Negative after more requests than a cold server tolerates.
  TokenBucket bucket_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_COLD_START_LIMITER_H_
