#include "gate/body_inquiries.h"

#include <utility>

#include "base/error_kind.h"
#include "traffic/peer_paths.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::gate {

BodyInquiries::BodyInquiries(net::EventLoop& loop, SendHandler send)
    : loop_(loop), send_(std::move(send)) {}

BodyInquiries::~BodyInquiries() {
  loop_.CancelDeferred(this);
}

void BodyInquiries::Answer(const admission::BodyArrival& body,
                           net::Reply reply,
                           base::Instant now) {
  switch (intake_.Ask(body, now)) {
    case admission::BodyIntake::Decision::kGranted:
      Grant(reply);
      return;
    case admission::BodyIntake::Decision::kRefused:
      Refuse(reply, now);
      return;
    case admission::BodyIntake::Decision::kQueued:
      break;
  }
  reply.OnGone([this, attempt = body.attempt] {
    loop_.Defer(this, [this, attempt] {
      intake_.OnEnded(attempt);
      waiting_.erase(attempt);
    });
  });
  waiting_.insert_or_assign(body.attempt, std::move(reply));
}

void BodyInquiries::OnArrived(const base::AttemptId& attempt,
                              base::Instant now) {
  intake_.OnEnded(attempt);
  AnswerGranted(now);
}

void BodyInquiries::Tick(base::Instant now) {
  AnswerGranted(now);
  for (const base::AttemptId& attempt : intake_.TakeExpired(now)) {
    auto expired = waiting_.extract(attempt);
    if (!expired.empty())
      Refuse(expired.mapped(), now);
  }
}

void BodyInquiries::AnswerGranted(base::Instant now) {
  for (const base::AttemptId& attempt : intake_.TakeGranted(now)) {
    auto granted = waiting_.extract(attempt);
    if (!granted.empty())
      Grant(granted.mapped());
  }
}

void BodyInquiries::Grant(net::Reply& reply) {
  send_(reply, {.status = traffic::kCapacityAvailable});
}

void BodyInquiries::Refuse(net::Reply& reply, base::Instant now) {
  send_(reply, wire::MakePeerErrorAnswer(base::ErrorKind::kOverloaded,
                                         intake_.Backlog(now)));
}

}  // namespace chestnutport::gate
