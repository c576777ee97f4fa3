// How many requests a cold server is given in a time: one that has just
// started, or says that it is cold, ends when it gets many more than it
// tolerates. Its gate is the only way to it, so that the count is exact.
#ifndef ADMISSION_COLD_START_LIMITER_H_
#define ADMISSION_COLD_START_LIMITER_H_

#include "base/time.h"

namespace chestnutport::admission {

struct ColdStartOptions {
  // Requests a second that a cold server may be given; zero: as many as a warm
  // one.
  double rate = 0;
  // So many beside, in any time: those that come together.
  double burst = 0;
  // How long a server that started is taken for cold until it says so itself.
  base::Duration after_start{};

  bool operator==(const ColdStartOptions&) const = default;
};

class ColdStartLimiter {
 public:
  // Ranks of urgency that are told apart; 0 is the most urgent.
  static constexpr int kRankCount = 4;

  explicit ColdStartLimiter(const ColdStartOptions& options) {
    set_options(options);
  }

  void set_options(const ColdStartOptions& options);

  // The server started just now.
  void OnServerStarted(base::Instant now);
  // The server said at `reported_at` how much longer it stays cold. What it
  // said before that counts no more.
  void OnReported(base::Duration remaining, base::Instant reported_at);
  // A health check found no sign that the server is cold. What it said itself
  // still holds; what was only likely does not.
  void OnHealthyWithoutReport(base::Instant now);
  // The server may have become cold: it counts as cold until it says at
  // `now` or later that it is not.
  void AssumeCold(base::Instant now);

  bool IsCold(base::Instant now) const;
  // Whether it is given fewer requests for it.
  bool IsLimited(base::Instant now) const;
  // Whether the server is cold, and got more than it tolerates: before it said
  // so, as a rule.
  bool IsOverRateLimit(base::Instant now) const;
  // Until when the server is cold, as far as it is known.
  base::Instant cold_until() const { return cold_until_; }
  // What a cold server is given a second; zero: there is no limit.
  double rate() const { return options_.rate; }

  // Whether a request may be handed to the server now. Of the burst, the less
  // urgent ranks leave a part to those before them, so that the few places of a
  // cold server go to what is most urgent, whatever comes first.
  bool MayStart(int rank, base::Instant now) const {
    return TimeUntilAllowed(1, rank, now) == base::Duration();
  }
  // The least urgent rank that may start now; less than zero: none.
  int LeastUrgentRankAllowed(base::Instant now) const;
  // Until the last of `requests` may be handed to the server, one after the
  // other.
  base::Duration TimeUntilAllowed(double requests,
                                  int rank,
                                  base::Instant now) const;
  // A request or a probe was handed to the server.
  void ConsumeToken(base::Instant now);

 private:
  // Tokens that a rank leaves to those before it.
  double ReservedTokens(int rank) const;
  double TokensAt(base::Instant now) const;

  ColdStartOptions options_;
  base::Instant cold_until_;
  base::Instant reported_at_;
  bool is_assumed_ = false;  // That it is cold: it did not say so.
  // Requests that may be started at `tokens_updated_at_`; less than zero after
  // more than a cold server tolerates.
  double tokens_ = 0;
  base::Instant tokens_updated_at_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_COLD_START_LIMITER_H_
