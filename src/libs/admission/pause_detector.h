// Notices that this process did not run for a while: stopped, or starved.
//
// What arrives says how much time is left to it, counted from its sending. If
// the process was frozen meanwhile, that time has gone by unseen in a socket's
// buffer; only the gap between two looks at the clock shows it.
#ifndef ADMISSION_PAUSE_DETECTOR_H_
#define ADMISSION_PAUSE_DETECTOR_H_

#include "base/time.h"

namespace chestnutport::admission {

class PauseDetector {
 public:
  explicit PauseDetector(base::Instant now) : last_update_(now) {}

  // Call with a fresh reading, at least every 10 ms while the process runs.
  void Update(base::Instant now);

  // How long a request that is read now may have waited unseen. Stays for a
  // second after a freeze, until what piled up has been read.
  base::Duration UnobservedDelay(base::Instant now) const;

 private:
  base::Instant last_update_;
  base::Instant resumed_at_;
  base::Duration pause_length_{};
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_PAUSE_DETECTOR_H_
