// Schedules health probes of this node's own server. Probes are sent only when
// traffic gives too little information, and never take more of the server's
// time than the declared budget.
//
// The budget applies to every window of ten seconds and counts from the start
// of the node process, so that a node in a restart loop keeps it too. A probe
// reserves the longest time that it may take in advance and is ended by then;
// the unused part is returned.
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
  // Probes are due after this time without an answer.
  base::Duration quiet = std::chrono::seconds(2);
  // After this time without an answer, a request that could be sent elsewhere
  // waits for a probe before it starts; 0 disables the wait.
  base::Duration stale{};
};

class ProbeScheduler {
 public:
  // `now`: the start of this node process.
  ProbeScheduler(const ProbeOptions& options, base::Instant now)
      : options_(options), started_at_(now), last_answer_(now) {}

  void set_options(const ProbeOptions& options) { options_ = options; }

  // The server answered a request.
  void OnAnswer(base::Instant now) { last_answer_ = now; }

  // Starts a probe if one is due. Returns its time limit, or nothing.
  std::optional<base::Duration> StartIfDue(base::Instant now);
  // Returns whether the server's last answer is too old to show its current
  // speed. False for a short time after a probe without an answer: the server
  // is then known to be slow.
  bool IsStale(base::Instant now) const;
  // Starts a probe that a request waits for, regardless of `quiet`. Returns its
  // time limit, or nothing if a probe is running or the budget is used up.
  std::optional<base::Duration> StartOnDemand(base::Instant now);
  bool IsRunning() const { return running_; }
  // Call when the probe has ended after `cost`.
  void End(base::Duration cost, bool answered, base::Instant now);

  uint64_t probes() const { return probes_; }
  base::Duration spent() const { return spent_; }

 private:
  struct BudgetUse {
    base::Instant begun;
    base::Duration cost;
  };

  // Reserves budget for a probe of up to `longest`. Returns the time limit, or
  // nothing if the budget is used up.
  std::optional<base::Duration> ReserveBudget(base::Duration longest,
                                              base::Instant now);

  ProbeOptions options_;
  base::Instant started_at_;
  base::Instant last_answer_;
  base::Instant last_probe_;
  base::Instant
      known_unresponsive_until_;       // Set after a probe without an answer.
  std::deque<BudgetUse> budget_uses_;  // In the current window.
  bool running_ = false;
  uint64_t probes_ = 0;
  base::Duration spent_{};
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_PROBE_SCHEDULER_H_
