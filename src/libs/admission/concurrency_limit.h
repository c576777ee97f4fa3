// How many requests a server is given at a time.
//
// The slots are known, but a noisy neighbour may take some of them away: then
// what is given beyond the rest only waits inside the server. Or it may slow
// all slots down: then giving less only wastes slots. Service times alone look
// alike in both, so the limit is changed on trial: fewer slots are in use if
// the service time falls with the limit, and the change is kept; if not, it is
// taken back. Upward trials are cheap and frequent. A downward one takes slots
// from requests that could use them, so it is made only when service times
// rise.
#ifndef ADMISSION_CONCURRENCY_LIMIT_H_
#define ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "admission/smoothed_mean.h"
#include "base/time.h"

namespace chestnutport::admission {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots);

  // The limit never exceeds the slots, nor falls below 1.
  void SetSlots(int slots);

  // The server started just now: the limit rises to the slots over the ramp.
  void StartWarmUp(base::Instant now);
  void set_warm_up_time(base::Duration ramp) { warm_up_time_ = ramp; }

  // A request ended. `at_limit`: no more could be started beside it.
  void OnServed(base::Instant started,
                base::Duration service_time,
                bool at_limit,
                base::Instant now);
  // The server refused a request with `in_flight` given to it.
  void OnShed(int in_flight, base::Instant now);

  int Limit(base::Instant now) const;

  // The mean of recent service times; zero if there was none.
  base::Duration service_time() const;
  // Answers that the mean is made of.
  int64_t served() const { return mean_service_time_.count(); }

 private:
  enum class Trial { kNone, kDown, kUp };

  void EndWindow(double mean, base::Instant now);
  void EndTrial(double mean, base::Instant now);
  void Begin(Trial trial, int limit, base::Instant now);
  void Change(int limit, base::Instant now);
  void RaiseWhileIdle(base::Instant now);

  int slots_;
  int limit_;
  base::Instant changed_at_;
  base::Instant last_at_limit_;
  base::Instant warm_up_started_at_;
  base::Duration warm_up_time_{};

  Trial trial_ = Trial::kNone;
  int limit_before_ = 0;  // The trial.
  double mean_before_ = 0;
  double reference_ = 0;  // Mean service time, in seconds, held for normal.
  int windows_until_up_trial_ = 0;
  int up_trial_interval_;

  double window_sum_ = 0;
  int window_count_ = 0;
  SmoothedMean mean_service_time_;  // Service time, in seconds.
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_CONCURRENCY_LIMIT_H_
