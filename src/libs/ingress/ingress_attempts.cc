// The attempts of calls: choosing servers, sending, querying the status, and
// cancelling.
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

constexpr std::chrono::milliseconds kCommandTimeout(500);
// Lower bound near the deadline, when a reply may still arrive in time.
constexpr std::chrono::milliseconds kMinCommandTimeout(1);

wire::PeerRequestHead MakeHead(const CallerRequest& request) {
  wire::PeerRequestHead head;
  head.service = request.service;
  head.tenant = request.tenant;
  head.traffic_class = request.traffic_class;
  head.work_kind = request.work_kind;
  head.depth = request.depth;
  head.may_stop = request.may_stop;
  head.request_name = request.name;
  head.fingerprint = request.fingerprint;
  return head;
}

// Adds the depth of the call that retries, for the calls nested in it, and the
// attempt number.
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

// Allows the nodes that returned the call to be tried again.
void ReadmitReturnedNodes(ActiveCall& call) {
  std::erase_if(call.tried_nodes, [&call](base::NodeId node) {
    return std::ranges::find(call.returned_by, node) != call.returned_by.end();
  });
  call.returned_by.clear();
}

}  // namespace

const routing::ServerCandidate* Ingress::ChooseServer(const ActiveCall& call,
                                                      base::Instant now) {
  if (!call.request.idempotency_key.empty())
    return ChooseKeyOwner(call.request);
  return call.service->chooser().ChooseAdmitted(
      {.excluded = call.tried_nodes,
       .regions = call.request.regions,
       .prefers_local_data_centre = !call.is_nested && call.request.depth == 0},
      now, random_);
}

const routing::ServerCandidate* Ingress::ChooseKeyOwner(
    const CallerRequest& request) {
  const keys::KeyScope scope{request.service, request.tenant,
                             request.idempotency_key};
  return FindKeyOwner(scope.Hash(), snapshot_.servers[request.service],
                      {.regions = request.regions});
}

bool Ingress::IsSuspect(const ActiveCall& call) const {
  const auto crash_count =
      std::ranges::count_if(call.attempts, [](const SentAttempt& sent) {
        return sent.end && sent.end->error == base::ErrorKind::kServerLost;
      });
  return crash_count >= static_cast<std::ptrdiff_t>(
                            quarantine::CrashLedger::kSuspicionThreshold) ||
         !verdicts_->IsFree(call.request.fingerprint);
}

const routing::ServerCandidate* Ingress::ChooseForSuspect(
    const ActiveCall& call) {
  const bool has_open_attempt =
      std::ranges::any_of(call.attempts, [](const SentAttempt& sent) {
        return sent.sent_at != base::Instant() && !sent.end;
      });
  // The crash is still being reported to the other nodes, and may lead to a
  // quarantine.
  const bool has_crashed_server =
      std::ranges::any_of(call.attempts, [](const SentAttempt& sent) {
        return sent.is_suspect && sent.end &&
               sent.end->error == base::ErrorKind::kServerLost;
      });
  if (has_open_attempt || has_crashed_server)
    return nullptr;
  if (!call.request.idempotency_key.empty())
    return ChooseKeyOwner(call.request);
  return FindKeyOwner(
      call.request.fingerprint.value, snapshot_.servers[call.request.service],
      {.excluded = call.tried_nodes, .regions = call.request.regions});
}

const routing::ServerCandidate* Ingress::ChooseForAttempt(ActiveCall& call,
                                                          base::Instant now) {
  const auto* server = ChooseServer(call, now);
  if (server || call.returned_by.empty())
    return server;
  // All other servers were tried, so the best of those that returned it is
  // chosen.
  ReadmitReturnedNodes(call);
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
  call.tried_nodes.push_back(server->node);
  SentAttempt& sent = call.attempts[attempt];
  sent.id = {attempt_origin_, ++last_attempt_};
  sent.server = *server;
  sent.sent_at = now;
  wire::PeerRequestHead head = MakeAttemptHead(call, attempt, now);
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
        UpdateCall(id, [&](ActiveCall& ended) {
          if (end.error == base::ErrorKind::kServerSlow)
            ended.returned_by.push_back(ended.attempts[attempt].server.node);
          ended.attempts[attempt].end = end;
          ended.attempts[attempt].ended_at = loop_.now();
          ended.attempts[attempt].answer = std::move(answer);
          return ended.call_state.OnAttemptEnd(attempt, end, loop_.now());
        });
      });
  return true;
}

wire::PeerRequestHead Ingress::MakeAttemptHead(const ActiveCall& call,
                                               int attempt,
                                               base::Instant now) const {
  const CallerRequest& request = call.request;
  const base::Duration remaining = call.call_state.deadline() - now;
  wire::PeerRequestHead head = MakeHead(request);
  head.attempt = call.attempts[attempt].id;
  head.target = call.attempts[attempt].server.node;
  if (request.target_latency > base::Duration::zero()) {
    head.target_in = std::max<base::Duration>(
        call.arrived_at + request.target_latency - now, {});
    if (call.is_nested)
      head.target_in = calls::NestedTarget(*head.target_in, remaining);
  }
  const bool has_others =
      call.service->chooser().size() > call.tried_nodes.size();
  head.usual_strain = call.service->chooser().UsualStrain();
  head.may_move = has_others && attempt < request.moves.if_degraded;
  head.may_move_if_full = has_others && attempt < request.moves.if_full;
  head.remaining = std::max<base::Duration>(
      remaining, wire::PeerRequestHead::kLeastRemaining);
  return head;
}

void Ingress::SendCommand(const ActiveCall& call, int attempt, bool cancel) {
  const SentAttempt& sent = call.attempts[attempt];
  const base::Instant command_sent_at = loop_.now();
  const auto timeout =
      std::clamp<base::Duration>(call.call_state.deadline() - command_sent_at,
                                 kMinCommandTimeout, kCommandTimeout);
  control_client_.SendCommand(
      sent.server, sent.id,
      cancel ? AttemptCommand::kCancel : AttemptCommand::kQueryStatus, timeout,
      [this, id = call.id, attempt, cancel,
       command_sent_at](calls::AttemptStatus answer) {
        UpdateCall(id, [&](ActiveCall& updated) {
          if (answer != calls::AttemptStatus::kNoAnswer) {
            updated.service->timeouts().OnStatusReply(
                loop_.now() - command_sent_at, loop_.now());
          }
          return updated.call_state.OnStatusReply(attempt, answer, cancel,
                                                  loop_.now());
        });
      });
}

void Ingress::Abandon(const ActiveCall& call, int attempt) {
  const SentAttempt& sent = call.attempts[attempt];
  // A request that is not repeatable is left to finish, because interrupting it
  // could leave its work half done.
  const AttemptCommand command = call.request.is_repeatable
                                     ? AttemptCommand::kStop
                                     : AttemptCommand::kCancel;
  canceller_.Cancel(sent.server, sent.id, command);
}

}  // namespace chestnutport::ingress
