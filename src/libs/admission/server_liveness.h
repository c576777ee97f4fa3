// Decides whether this node's server is alive: it announces itself
// periodically, and answers to traffic count when announcements stop.
#ifndef ADMISSION_SERVER_LIVENESS_H_
#define ADMISSION_SERVER_LIVENESS_H_

#include "base/time.h"

namespace chestnutport::admission {

class ServerLiveness {
 public:
  void OnAnnounced(base::Instant now);
  // The server answered a request or a probe.
  void OnAnswer(base::Instant now);
  // The server announced that it leaves.
  void OnLeft() { announced_ = false; }

  // Returns false before the first announcement, after OnLeft(), and if three
  // announcements in a row are missing and the server answered nothing in that
  // time.
  bool IsAlive(base::Instant now) const;

  // Returns whether there was no announcement, or none for twice the usual
  // interval.
  bool IsAnnouncementOverdue(base::Instant now) const;

  // The observed interval between announcements.
  base::Duration interval() const { return interval_; }

 private:
  bool announced_ = false;
  base::Instant last_announced_;
  base::Instant last_answer_;
  base::Duration interval_ = std::chrono::seconds(1);
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_LIVENESS_H_
