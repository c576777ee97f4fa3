// The attempts of calls: choosing the server, sending, asking what became of
// them, and giving them up.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/error_kind.h"
#include "calls/nested_target.h"
#include "ingress/caller_request.h"
#include "ingress/ingress.h"
#include "ingress/key_owner_view.h"
#include "keys/key_scope.h"
#include "quarantine/crash_ledger.h"
#include "wire/header_names.h"
#include "wire/peer_request_head.h"

namespace chestnutport::ingress {
namespace {

constexpr std::chrono::milliseconds kSettleTimeout(500);
// Also asked at the deadline: the answer may still be there.
constexpr std::chrono::milliseconds kLeastSettleTimeout(1);

wire::PeerRequestHead MakeHead(const CallerRequest& request) {
  wire::PeerRequestHead head;
  head.service = request.service;
  head.tenant = request.tenant;
  head.traffic_class = request.traffic_class;
  head.depth = request.depth;
  head.may_stop = request.may_stop;
  head.request_name = request.name;
  head.fingerprint = request.fingerprint;
  return head;
}

// Tells the levels below which one repeats, and which attempt this is.
void AddRetryHeaders(const CallerRequest& request,
                     int attempt,
                     net::HttpHeaders& headers) {
  if (request.retry_level || request.is_repeatable) {
    headers.push_back(
        {wire::kRetryLevelHeader,
         absl::StrCat(request.retry_level.value_or(request.depth))});
  }
  headers.push_back({wire::kAttemptNumberHeader, absl::StrCat(attempt)});
}

void AddKeyAge(const CallerRequest& request, net::HttpHeaders& headers) {
  if (request.idempotency_key.empty())
    return;
  headers.push_back(
      {wire::kKeyAgeHeader,
       request.key_age ? base::FormatDuration(*request.key_age) : "unknown"});
}

// Those that handed the call back may be asked again.
void ForgetHandedBack(ActiveCall& call) {
  std::erase_if(call.tried, [&call](base::NodeId node) {
    return std::ranges::find(call.handed_back, node) != call.handed_back.end();
  });
  call.handed_back.clear();
}

}  // namespace

const routing::ServerCandidate* Ingress::ChooseServer(const ActiveCall& call,
                                                      base::Instant now) {
  if (!call.request.idempotency_key.empty())
    return KeyOwner(call.request);
  return call.service->chooser().ChooseAdmitted(
      {.excluded = call.tried,
       .regions = call.request.regions,
       .prefers_near = !call.is_nested && call.request.depth == 0},
      now, random_);
}

const routing::ServerCandidate* Ingress::KeyOwner(
    const CallerRequest& request) {
  const keys::KeyScope scope{request.service, request.tenant,
                             request.idempotency_key};
  return OwnerAmong(scope.Hash(), snapshot_.servers[request.service],
                    {.regions = request.regions});
}

bool Ingress::IsSuspect(const ActiveCall& call) const {
  const auto ended_by =
      std::ranges::count_if(call.attempts, [](const SentAttempt& sent) {
        return sent.end && sent.end->error == base::ErrorKind::kServerLost;
      });
  return ended_by >= static_cast<std::ptrdiff_t>(
                         quarantine::CrashLedger::kSuspicionThreshold) ||
         !verdicts_->IsFree(call.request.fingerprint);
}

const routing::ServerCandidate* Ingress::ChooseForSuspect(
    const ActiveCall& call) {
  const bool is_under_way =
      std::ranges::any_of(call.attempts, [](const SentAttempt& sent) {
        return sent.sent_at != base::Instant() && !sent.end;
      });
  // The news of the end are on their way, and may put it in quarantine.
  const bool has_ended_one =
      std::ranges::any_of(call.attempts, [](const SentAttempt& sent) {
        return sent.is_suspect && sent.end &&
               sent.end->error == base::ErrorKind::kServerLost;
      });
  if (is_under_way || has_ended_one)
    return nullptr;
  if (!call.request.idempotency_key.empty())
    return KeyOwner(call.request);
  return OwnerAmong(call.request.fingerprint.value,
                    snapshot_.servers[call.request.service],
                    {.excluded = call.tried, .regions = call.request.regions});
}

const routing::ServerCandidate* Ingress::ChooseForAttempt(ActiveCall& call,
                                                          base::Instant now) {
  const auto* server = ChooseServer(call, now);
  if (server || call.handed_back.empty())
    return server;
  // All others were tried: the least poor of those that handed it back.
  ForgetHandedBack(call);
  return ChooseServer(call, now);
}

bool Ingress::SendAttempt(ActiveCall& call, int attempt) {
  const base::Instant now = loop_.now();
  call.attempts.resize(attempt + 1);
  const bool is_suspect = IsSuspect(call);
  const auto* server =
      is_suspect ? ChooseForSuspect(call) : ChooseForAttempt(call, now);
  if (!server)
    return false;
  call.tried.push_back(server->node);
  SentAttempt& sent = call.attempts[attempt];
  sent.id = {attempt_origin_, ++last_attempt_};
  sent.server = *server;
  sent.sent_at = now;
  wire::PeerRequestHead head = HeadOf(call, attempt, now);
  sent.is_suspect = is_suspect;
  if (is_suspect) {
    head.is_suspect = true;
    head.may_move = false;
    head.may_move_if_full = false;
  }
  net::HttpRequest request = call.request.http;
  AddRetryHeaders(call.request, attempt, request.headers);
  AddKeyAge(call.request, request.headers);
  sender_.Send(
      *call.service, sent.server, head, std::move(request),
      [this, id = call.id, attempt](const calls::AttemptEnd& end,
                                    net::HttpAnswer answer) {
        Tell(id, [&](ActiveCall& ended) {
          if (end.error == base::ErrorKind::kServerSlow)
            ended.handed_back.push_back(ended.attempts[attempt].server.node);
          ended.attempts[attempt].end = end;
          ended.attempts[attempt].ended_at = loop_.now();
          ended.attempts[attempt].answer = std::move(answer);
          return ended.decision.OnAttemptEnd(attempt, end, loop_.now());
        });
      });
  return true;
}

wire::PeerRequestHead Ingress::HeadOf(const ActiveCall& call,
                                      int attempt,
                                      base::Instant now) const {
  const CallerRequest& request = call.request;
  const base::Duration remaining = call.decision.deadline() - now;
  wire::PeerRequestHead head = MakeHead(request);
  head.attempt = call.attempts[attempt].id;
  head.target = call.attempts[attempt].server.node;
  if (request.target_latency > base::Duration::zero()) {
    head.target_in = std::max<base::Duration>(
        call.arrived_at + request.target_latency - now, {});
    if (call.is_nested)
      head.target_in = calls::NestedTarget(*head.target_in, remaining);
  }
  const bool has_others = call.service->chooser().size() > call.tried.size();
  head.usual_strain = call.service->chooser().UsualStrain();
  head.may_move = has_others && attempt < request.moves.if_poor;
  head.may_move_if_full = has_others && attempt < request.moves.if_full;
  head.remaining = std::max<base::Duration>(
      remaining, wire::PeerRequestHead::kLeastRemaining);
  return head;
}

void Ingress::Settle(const ActiveCall& call, int attempt, bool cancel) {
  const SentAttempt& sent = call.attempts[attempt];
  const base::Instant asked_at = loop_.now();
  const auto timeout = std::clamp<base::Duration>(
      call.decision.deadline() - asked_at, kLeastSettleTimeout, kSettleTimeout);
  settler_.Settle(sent.server, sent.id,
                  cancel ? Question::kCancel : Question::kAsk, timeout,
                  [this, id = call.id, attempt, cancel,
                   asked_at](calls::SettleAnswer answer) {
                    Tell(id, [&](ActiveCall& asked) {
                      if (answer != calls::SettleAnswer::kNoAnswer) {
                        asked.service->timing().OnSettled(
                            loop_.now() - asked_at, loop_.now());
                      }
                      return asked.decision.OnSettled(attempt, answer, cancel,
                                                      loop_.now());
                    });
                  });
}

void Ingress::Abandon(const ActiveCall& call, int attempt) {
  const SentAttempt& sent = call.attempts[attempt];
  // What may run once only is left to finish: half of it done helps nobody.
  const Question question =
      call.request.is_repeatable ? Question::kStop : Question::kCancel;
  canceller_.Cancel(sent.server, sent.id, question);
}

}  // namespace chestnutport::ingress
