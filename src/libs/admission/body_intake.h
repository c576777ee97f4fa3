// Limits the request bodies that are in transit to one VM, so that a short
// request does not wait on the VM's link behind several large bodies. Performs
// no I/O: the time is passed in.
//
// The sender of a large body first asks for capacity. It is granted if the
// bodies that were granted before, and have not arrived yet, occupy the link
// for a short time only; otherwise it waits for its turn, or is refused.
#ifndef ADMISSION_BODY_INTAKE_H_
#define ADMISSION_BODY_INTAKE_H_

#include <cstddef>
#include <vector>

#include "base/attempt_id.h"
#include "base/time.h"

namespace chestnutport::admission {

// A body that its sender wants to transmit.
struct BodyArrival {
  base::AttemptId attempt;
  size_t bytes = 0;
  int rank = 0;  // Urgency; 0 is the most urgent.
};

class BodyIntake {
 public:
  enum class Decision { kGranted, kQueued, kRefused };

  // Time for which bodies in transit may occupy the link. A request of a few
  // hundred bytes waits as long at worst, and it is enough for the link to stay
  // in use while the next body is being granted.
  static constexpr std::chrono::milliseconds kMaxTransitTime{60};
  // Longest time in the queue. Senders wait 250 ms for the answer, of which a
  // part is spent on their own link.
  static constexpr std::chrono::milliseconds kMaxWait{150};

  // `bits_per_second`: rate of the link. Zero: every body is granted.
  void SetLinkRate(double bits_per_second);

  Decision Ask(const BodyArrival& body, base::Instant now);
  // The whole body has arrived, or its sender has gone.
  void OnEnded(const base::AttemptId& attempt);

  // Grants queued bodies for which there is room now, the most urgent first.
  // Call after OnEnded() and about every 10 ms.
  std::vector<base::AttemptId> TakeGranted(base::Instant now);
  // Removes and returns the bodies that have been queued for too long.
  std::vector<base::AttemptId> TakeExpired(base::Instant now);

  // Returns the time until the bodies in transit and in the queue have arrived.
  base::Duration Backlog(base::Instant now) const;
  size_t in_transit() const { return in_transit_.size(); }
  size_t queued() const { return queue_.size(); }

 private:
  struct Transit {
    base::AttemptId attempt;
    size_t bytes = 0;
    base::Instant expires_at;
  };
  struct Queued {
    BodyArrival body;
    base::Instant expires_at;
  };

  // Removes bodies that have not arrived in time; their senders have given up.
  void DropExpired(base::Instant now);
  bool HasRoomFor(size_t bytes) const;
  void Grant(const BodyArrival& body, base::Instant now);
  base::Duration TransitTime(size_t bytes) const;
  size_t BytesInTransit() const;

  double bytes_per_second_ = 0;
  std::vector<Transit> in_transit_;
  std::vector<Queued> queue_;  // By rank, then by arrival.
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_BODY_INTAKE_H_
