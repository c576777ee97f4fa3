// Answers the capacity inquiries that senders make before they transmit large
// bodies, in the order in which the VM's link has room for them. Runs on the
// gate thread.
#ifndef GATE_BODY_INQUIRIES_H_
#define GATE_BODY_INQUIRIES_H_

#include <functional>

#include "absl/container/flat_hash_map.h"
#include "admission/body_intake.h"
#include "base/attempt_id.h"
#include "base/time.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/reply.h"

namespace chestnutport::gate {

class BodyInquiries {
 public:
  using SendHandler = std::function<void(net::Reply&, net::HttpAnswer)>;

  // `loop` must outlive this object. `send` is called with each answer.
  BodyInquiries(net::EventLoop& loop, SendHandler send);
  ~BodyInquiries();

  // Bits per second; zero if unknown, then every inquiry is granted.
  void SetLinkRate(double bits_per_second) {
    intake_.SetLinkRate(bits_per_second);
  }

  // Answers that the body may be transmitted: now, or when there is room.
  // Refuses with kOverloaded if that would take too long.
  void Answer(const admission::BodyArrival& body,
              net::Reply reply,
              base::Instant now);
  // The request has arrived with its body.
  void OnArrived(const base::AttemptId& attempt, base::Instant now);
  // Call about every 10 ms.
  void Tick(base::Instant now);

 private:
  void Grant(net::Reply& reply);
  void Refuse(net::Reply& reply, base::Instant now);
  void AnswerGranted(base::Instant now);

  net::EventLoop& loop_;
  SendHandler send_;
  admission::BodyIntake intake_;
  absl::flat_hash_map<base::AttemptId, net::Reply> waiting_;
};

}  // namespace chestnutport::gate

#endif  // GATE_BODY_INQUIRIES_H_
