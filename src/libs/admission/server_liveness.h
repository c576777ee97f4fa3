// Judges whether this node's server is still there. Its announcements say so;
// when they stop, traffic that it still answers is trusted over their absence.
#ifndef ADMISSION_SERVER_LIVENESS_H_
#define ADMISSION_SERVER_LIVENESS_H_

#include "base/time.h"

namespace chestnutport::admission {

class ServerLiveness {
 public:
  void OnAnnounced(base::Instant now);
  // The server answered a request or a probe.
  void OnAnswer(base::Instant now);
  // It said that it leaves.
  void OnLeft() { announced_ = false; }

  // False once three announcements in a row are missing and nothing was
  // answered for as long.
  bool IsAlive(base::Instant now) const;

  // Its announcement is missing for twice the usual time, or there was none.
  bool IsAnnouncementOverdue(base::Instant now) const;

  // The usual time between two announcements, as seen.
  base::Duration interval() const { return interval_; }

 private:
  bool announced_ = false;
  base::Instant last_announced_;
  base::Instant last_answer_;
  base::Duration interval_ = std::chrono::seconds(1);
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_LIVENESS_H_
