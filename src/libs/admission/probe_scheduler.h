// Decides when a node probes its own server: only when traffic tells too
// little, and never for more of the server's time than the declared budget.
//
// The budget holds for every window of ten seconds, and for each life of the
// node, so that a node that starts again and again keeps it too. A probe is
// paid in advance with the longest time that it may take, and ended by then;
// what it did not use is given back.
#ifndef ADMISSION_PROBE_SCHEDULER_H_
#define ADMISSION_PROBE_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace chestnutport::admission {

inline constexpr std::chrono::seconds kProbeBudgetWindow(10);

struct ProbeOptions {
  double budget = 0.005;  // Share of the server's time.
  // Without an answer for so long, traffic tells too little.
  base::Duration quiet = std::chrono::seconds(2);
  // Without an answer for so long, a request that could go elsewhere is not
  // started before a probe has ended; zero: it is started at once.
  base::Duration stale{};
};

class ProbeScheduler {
 public:
  // `now`: when this life of the node began.
  ProbeScheduler(const ProbeOptions& options, base::Instant now)
      : options_(options), started_at_(now), last_answer_(now) {}

  void set_options(const ProbeOptions& options) { options_ = options; }

  // The server answered a request.
  void OnAnswer(base::Instant now) { last_answer_ = now; }

  // Starts a probe if one is due; it must be ended within the time returned.
  std::optional<base::Duration> StartIfDue(base::Instant now);
  // Whether the server's last word is too old to start a request by. Not for a
  // while after a probe without an answer: that is known of it.
  bool IsStale(base::Instant now) const;
  // Starts a probe that a request waits for, whatever `quiet` says.
  std::optional<base::Duration> StartOnDemand(base::Instant now);
  bool IsRunning() const { return running_; }
  // The probe ended after `cost`.
  void End(base::Duration cost, bool answered, base::Instant now);

  uint64_t probes() const { return probes_; }
  base::Duration spent() const { return spent_; }

 private:
  struct BudgetUse {
    base::Instant begun;
    base::Duration cost;
  };

  // Pays for a probe of up to `longest`; nothing if the budget is used up.
  std::optional<base::Duration> ReserveBudget(base::Duration longest,
                                              base::Instant now);

  ProbeOptions options_;
  base::Instant started_at_;
  base::Instant last_answer_;
  base::Instant last_probe_;
  base::Instant known_unresponsive_until_;  // The last probe had no answer.
  std::deque<BudgetUse> budget_uses_;       // Of the current window.
  bool running_ = false;
  uint64_t probes_ = 0;
  base::Duration spent_{};
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_PROBE_SCHEDULER_H_
