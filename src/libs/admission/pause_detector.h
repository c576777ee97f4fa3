// Detects that this process was paused: stopped, or starved of CPU time.
//
// A request carries the time left until its deadline, counted from when it was
// sent. If the process was paused meanwhile, part of that time has passed while
// the request waited in a socket buffer. Only the gap between two readings of
// the clock reveals this.
#ifndef ADMISSION_PAUSE_DETECTOR_H_
#define ADMISSION_PAUSE_DETECTOR_H_

#include "base/time.h"

namespace chestnutport::admission {

class PauseDetector {
 public:
  explicit PauseDetector(base::Instant now) : last_update_(now) {}

  // Call with a fresh reading of the clock, at least every 10 ms while the
  // process runs.
  void Update(base::Instant now);

  // Returns how long a request that is read now may have waited in a socket
  // buffer. Non-zero for one second after a pause, until the backlog has been
  // read.
  base::Duration UnobservedDelay(base::Instant now) const;

 private:
  base::Instant last_update_;
  base::Instant resumed_at_;
  base::Duration pause_length_{};
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_PAUSE_DETECTOR_H_
