// Requests from other nodes: authorization, and whether a request starts, is
// queued or is returned to its sender.
#include <optional>
#include <utility>

#include "base/encoding.h"
#include "base/text.h"
#include "gate/gate.h"
#include "gate/gate_log.h"
#include "net/error_answer.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"
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

// Assumed if the sender runs an older version, which does not state the size.
constexpr size_t kTypicalBodyBytes = 64 * 1024;

size_t BodyBytes(const net::HttpHeaders& headers) {
  size_t bytes = 0;
  return base::ParseNumber(net::FindHeader(headers, wire::kBodyBytesHeader),
                           &bytes)
             ? bytes
             : kTypicalBodyBytes;
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
    SendAnswer(reply, attempt_control_calls_.Answer(request.body.ToString()));
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
  pause_detector_.Update(now);
  OnNoticePassedOn(head, now);
  GateArrival arrival{
      .head = head,
      .request = std::move(request),
      .reply = std::move(reply),
      .arrived_at = now,
      .deadline = now + head.remaining - pause_detector_.UnobservedDelay(now),
      .target = TargetOf(head, now)};
  arrival.is_inquiry = arrival.request.target == traffic::kCapacityInquiryPath;
  if (arrival.is_inquiry)
    arrival.body_bytes = BodyBytes(arrival.request.headers);
  else if (arrival.request.unread_body == 0)
    body_inquiries_.OnArrived(head.attempt, now);
  // The slowness of the server at the start of a request determines how long it
  // takes, so a request that could be sent elsewhere waits for a probe if there
  // is no recent report. A server whose rate is limited is not probed: a probe
  // costs a cold server as much as a request.
  const bool may_wait =
      arrival.reply.IsOpen() && head.may_move && server_.AcceptsRequests() &&
      admission_.HasCapacity(now) && !admission_.IsRateLimited(now);
  if (may_wait && observer_.ProbeIfStale(now))
    waiting_for_probe_.push_back(std::move(arrival));
  else
    Admit(std::move(arrival));
}

void Gate::AdmitDeferred() {
  for (GateArrival& arrival : std::exchange(waiting_for_probe_, {}))
    Admit(std::move(arrival));
}

void Gate::Admit(GateArrival arrival) {
  const base::Instant now = base::Clock::now();
  if (!arrival.reply.IsOpen()) {
    DiscardAbandoned(arrival, now);
    return;
  }
  if (RejectIfUnservable(arrival, now))
    return;
  const wire::PeerRequestHead& head = arrival.head;
  const admission::Arrival asked{
      head.attempt,   head.tenant,   head.traffic_class,       arrival.deadline,
      arrival.target, head.may_stop, IsServerLeavingFor(head), head.work_kind};
  if (arrival.is_inquiry) {
    AnswerInquiry(asked, std::move(arrival));
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
  AddAttempt(std::move(arrival));
  Perform(actions);
}

void Gate::DiscardAbandoned(const GateArrival& arrival, base::Instant now) {
  const wire::PeerRequestHead& head = arrival.head;
  if (arrival.is_inquiry)
    return;
  // An earlier arrival of the same attempt may be running.
  if (admission_.State(head.attempt) == AttemptState::kUnknown)
    admission_.Cancel(head.attempt, now);
  LogDecision({.request = head.request_name,
               .fingerprint = head.fingerprint,
               .error = ErrorKind::kCancelled,
               .queued = now - arrival.arrived_at});
}

bool Gate::RejectIfUnservable(GateArrival& arrival, base::Instant now) {
  const wire::PeerRequestHead& head = arrival.head;
  if (!server_.announced || server_.service != head.service ||
      observer_.is_replaced()) {
    SendAnswer(arrival.reply, net::MakeErrorAnswer(ErrorKind::kNoServer));
    return true;
  }
  if (const auto refusal = QuarantineRefusal(arrival, now)) {
    LogDecision({.request = head.request_name,
                 .fingerprint = head.fingerprint,
                 .error = refusal->error});
    SendAnswer(arrival.reply,
               wire::MakePeerErrorAnswer(refusal->error, refusal->retry_after));
    return true;
  }
  if (!head.may_move || !server_.AcceptsRequests() ||
      !ShouldMoveElsewhere(head, now))
    return false;
  LogDecision({.request = head.request_name,
               .fingerprint = head.fingerprint,
               .error = ErrorKind::kServerSlow,
               .admitted_slowness = observer_.performance().Slowness(now),
               .slowness_age = observer_.performance().SlownessAge(now),
               .usual_strain = head.usual_strain});
  SendAnswer(arrival.reply, net::MakeErrorAnswer(ErrorKind::kServerSlow));
  return true;
}

std::optional<quarantine::QuarantineRejection> Gate::QuarantineRefusal(
    const GateArrival& arrival,
    base::Instant now) const {
  const wire::PeerRequestHead& head = arrival.head;
  // A duplicate of a known attempt must not be answered with "not run".
  const bool is_new = admission_.State(head.attempt) == AttemptState::kUnknown;
  // A request whose key has been used is answered from the key's record. If the
  // key is new, the verdict is checked when the request would start.
  const bool has_key = KeyedRequests::HasKey(arrival.request);
  if (!is_new || has_key)
    return std::nullopt;
  return quarantine_filter_.FindRejection({head.fingerprint, head.is_suspect},
                                          now);
}

void Gate::AnswerInquiry(const admission::Arrival& asked, GateArrival arrival) {
  const base::Instant now = base::Clock::now();
  if (const auto refused = admission_.CheckRefusal(asked, now)) {
    SendAnswer(arrival.reply,
               wire::MakePeerErrorAnswer(refused->error, refused->retry_after));
    return;
  }
  const int rank = admission_.RankOf(asked.traffic_class, asked.tenant);
  body_inquiries_.Answer({asked.attempt, arrival.body_bytes, rank},
                         std::move(arrival.reply), now);
}

void Gate::AddAttempt(GateArrival arrival) {
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
  attempt->slowness = observer_.performance().Slowness(now);
  attempt->slowness_age = observer_.performance().SlownessAge(now);
  attempt->method = arrival.request.method;
  attempt->unread_body = arrival.request.unread_body;
  attempt->request = std::move(arrival.request);
  attempt->reply = std::move(arrival.reply);
  attempt->reply.OnGone([this, id = head.attempt] {
    loop_.Defer(this, [this, id] { OnPeerDisconnected(id); });
  });
  attempts_.emplace(head.attempt, std::move(attempt));
}

bool Gate::ShouldMoveElsewhere(const wire::PeerRequestHead& head,
                               base::Instant now) const {
  return observer_.performance().IsDegraded(now, head.usual_strain) ||
         (head.may_move_if_full && !admission_.HasCapacity(now));
}

}  // namespace chestnutport::gate
