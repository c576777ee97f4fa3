// What other nodes ask of a gate: who may, and whether a request runs, waits or
// is handed back.
#include <optional>
#include <utility>

#include "base/encoding.h"
#include "gate/gate.h"
#include "gate/gate_log.h"
#include "net/error_answer.h"
#include "traffic/peer_paths.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::gate {
namespace {

using base::ErrorKind;

using admission::AdmissionActions;
using admission::AttemptState;

std::optional<base::Instant> TargetOf(const wire::PeerRequestHead& head,
                                      base::Instant now) {
  if (!head.target_in)
    return std::nullopt;
  return now + *head.target_in;
}

}  // namespace

void Gate::OnRequest(net::HttpRequest request, net::Reply reply) {
  const auto head = wire::PeerRequestHead::Read(request.headers);
  if (!head) {
    SendAnswer(reply, net::MakeErrorAnswer(ErrorKind::kMalformedRequest));
    return;
  }
  if (!IsAuthorized(*head, request.headers)) {
    SendAnswer(reply, net::MakeErrorAnswer(ErrorKind::kUnauthorized));
    return;
  }
  if (head->target != identity_.id) {
    SendAnswer(reply, net::MakeErrorAnswer(ErrorKind::kStaleTarget));
    return;
  }
  if (request.target == traffic::kSettlePath)
    SendAnswer(reply, settle_calls_.Answer(request.body));
  else
    Receive(*head, std::move(request), std::move(reply));
}

bool Gate::IsAuthorized(const wire::PeerRequestHead& head,
                        const net::HttpHeaders& headers) const {
  return head.IsSignedWith(headers, keys_.current) ||
         head.IsSignedWith(headers, keys_.previous);
}

void Gate::Receive(const wire::PeerRequestHead& head,
                   net::HttpRequest request,
                   net::Reply reply) {
  const base::Instant now = base::Clock::now();
  freeze_watch_.Look(now);
  GateArrival arrival{
      .head = head,
      .request = std::move(request),
      .reply = std::move(reply),
      .arrived_at = now,
      .deadline = now + head.remaining - freeze_watch_.UnseenWait(now),
      .target = TargetOf(head, now)};
  arrival.is_inquiry = arrival.request.target == traffic::kInquiryPath;
  // How slow the server is when a request starts decides how long it takes, so
  // one that could go elsewhere waits for the server's word if there is none of
  // now. To a cold server a probe is as much as a request.
  const bool may_wait = head.may_move && server_.TakesWork() &&
                        admission_.HasRoom(now) &&
                        !admission_.cold().IsLimited(now);
  if (may_wait && observer_.Look(now))
    waiting_for_look_.push_back(std::move(arrival));
  else
    Admit(std::move(arrival));
}

void Gate::AdmitWaiting() {
  for (GateArrival& arrival : std::exchange(waiting_for_look_, {}))
    Admit(std::move(arrival));
}

void Gate::Admit(GateArrival arrival) {
  const base::Instant now = base::Clock::now();
  if (TurnsAway(arrival, now))
    return;
  const wire::PeerRequestHead& head = arrival.head;
  const admission::Arrival asked{head.attempt,       head.tenant,
                                 head.traffic_class, arrival.deadline,
                                 arrival.target,     head.may_stop};
  if (arrival.is_inquiry) {
    AnswerInquiry(asked, arrival.reply);
    return;
  }
  if (!attempts_.contains(head.attempt)) {
    if (auto answer = keyed_requests_.Begin(head, arrival.request, now)) {
      SendAnswer(arrival.reply, *std::move(answer));
      return;
    }
  }
  const AdmissionActions actions = admission_.Arrive(asked, now);
  if (attempts_.contains(head.attempt)) {
    SendAnswer(arrival.reply,
               net::MakeErrorAnswer(ErrorKind::kDuplicateAttempt));
    return;
  }
  Keep(std::move(arrival));
  Perform(actions);
}

bool Gate::TurnsAway(GateArrival& arrival, base::Instant now) {
  const wire::PeerRequestHead& head = arrival.head;
  if (!server_.announced || server_.service != head.service ||
      observer_.is_replaced()) {
    SendAnswer(arrival.reply, net::MakeErrorAnswer(ErrorKind::kNoServer));
    return true;
  }
  if (const auto refusal = Held(arrival, now)) {
    LogDecision({.request = head.request_name,
                 .fingerprint = head.fingerprint,
                 .error = refusal->error});
    SendAnswer(arrival.reply,
               wire::MakePeerErrorAnswer(refusal->error, refusal->retry_after));
    return true;
  }
  if (!head.may_move || !server_.TakesWork() || !HandsBack(head, now))
    return false;
  LogDecision({.request = head.request_name,
               .fingerprint = head.fingerprint,
               .error = ErrorKind::kServerSlow,
               .admitted_slowness = observer_.pace().Slowness(now),
               .slowness_age = observer_.pace().Age(now),
               .usual_strain = head.usual_strain});
  SendAnswer(arrival.reply, net::MakeErrorAnswer(ErrorKind::kServerSlow));
  return true;
}

std::optional<quarantine::QuarantineRejection> Gate::Held(
    const GateArrival& arrival,
    base::Instant now) const {
  const wire::PeerRequestHead& head = arrival.head;
  // A copy of an attempt that is here must not hear that it does not run.
  const bool is_new = admission_.State(head.attempt) == AttemptState::kUnknown;
  // What ran under a key is answered from its record; what is new to it is
  // refused when it would start.
  const bool has_key = KeyedRequests::HasKey(arrival.request);
  if (!is_new || has_key)
    return std::nullopt;
  return guard_.Judge({head.fingerprint, head.is_suspect}, now);
}

void Gate::AnswerInquiry(const admission::Arrival& asked, net::Reply& reply) {
  if (const auto refused = admission_.Judge(asked, base::Clock::now())) {
    SendAnswer(reply,
               wire::MakePeerErrorAnswer(refused->error, refused->retry_after));
    return;
  }
  SendAnswer(reply, {.status = traffic::kPlaceFree});
}

void Gate::Keep(GateArrival arrival) {
  const wire::PeerRequestHead& head = arrival.head;
  auto attempt = std::make_unique<GateAttempt>();
  attempt->id = head.attempt;
  attempt->deadline = arrival.deadline;
  attempt->may_stop = head.may_stop;
  attempt->name = head.request_name;
  attempt->guarded = {head.fingerprint, head.is_suspect};
  attempt->service = head.service;
  attempt->tenant = head.tenant;
  attempt->traffic_class = head.traffic_class;
  attempt->arrived_at = arrival.arrived_at;
  attempt->target = arrival.target;
  const base::Instant now = base::Clock::now();
  attempt->slowness = observer_.pace().Slowness(now);
  attempt->slowness_age = observer_.pace().Age(now);
  attempt->method = arrival.request.method;
  attempt->request = std::move(arrival.request);
  attempt->reply = std::move(arrival.reply);
  attempt->reply.OnGone([this, id = head.attempt] {
    loop_.Defer(this, [this, id] { OnPeerGone(id); });
  });
  attempts_.emplace(head.attempt, std::move(attempt));
}

bool Gate::HandsBack(const wire::PeerRequestHead& head,
                     base::Instant now) const {
  return observer_.pace().IsPoor(now, head.usual_strain) ||
         (head.may_move_if_full && !admission_.HasRoom(now));
}

}  // namespace chestnutport::gate
