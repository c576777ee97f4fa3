// Adaptive limit on the number of requests that a server runs concurrently.
//
// The number of slots is known, but a noisy neighbour may take some of them;
// requests beyond the remaining slots only queue inside the server. Or the
// neighbour may slow down all slots; then a lower limit only wastes capacity.
// Service times rise in both cases, so the limit is changed in trials: if the
// service time falls with the limit, requests were queueing inside the server
// and the lower limit is kept; otherwise the change is undone. Upward trials
// are cheap and frequent. A downward trial takes slots from requests that could
// use them, so it is made only when service times have risen.
#ifndef ADMISSION_CONCURRENCY_LIMIT_H_
#define ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "admission/smoothed_mean.h"
#include "base/time.h"

namespace chestnutport::admission {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots);

  // Sets the upper bound of the limit, which is always at least 1.
  void SetSlots(int slots);

  // The server has just started: raises the limit gradually to the slots over
  // the warm-up time.
  void StartWarmUp(base::Instant now);
  void set_warm_up_time(base::Duration ramp) { warm_up_time_ = ramp; }

  // Call when a request was answered. `at_limit`: no other request could start
  // beside it.
  void OnServed(base::Instant started,
                base::Duration service_time,
                bool at_limit,
                base::Instant now);
  // Call when the server rejected a request while `in_flight` requests were
  // sent to it.
  void OnShed(int in_flight, base::Instant now);

  int Limit(base::Instant now) const;

  // Returns the moving average of the service time, or zero if nothing was
  // served.
  base::Duration service_time() const;
  // The number of answers in the average.
  int64_t served() const { return mean_service_time_.count(); }

 private:
  enum class Trial { kNone, kDown, kUp };

  void EndWindow(double mean, base::Instant now);
  void EndTrial(double mean, base::Instant now);
  void BeginTrial(Trial trial, int limit, base::Instant now);
  void ChangeLimit(int limit, base::Instant now);
  void RaiseWhileIdle(base::Instant now);

  int slots_;
  int limit_;
  base::Instant changed_at_;
  base::Instant last_at_limit_;
  base::Instant warm_up_started_at_;
  base::Duration warm_up_time_{};

  Trial trial_ = Trial::kNone;
  int limit_before_ = 0;  // The limit before the current trial.
  // Mean service time of the last window before the trial, in seconds.
  double mean_before_ = 0;
  double reference_ = 0;  // Mean service time without congestion, in seconds.
  int windows_until_up_trial_ = 0;
  int up_trial_interval_;

  double window_sum_ = 0;
  int window_count_ = 0;
  SmoothedMean mean_service_time_;  // Service time, in seconds.
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_CONCURRENCY_LIMIT_H_
