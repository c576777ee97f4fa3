// Attempts at the server: sending them, handling their results, and stopping
// them.
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "gate/gate.h"
#include "gate/gate_log.h"
#include "gate/server_answer.h"
#include "net/error_answer.h"
#include "traffic/answer_relay.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::gate {

using admission::AdmissionActions;
using admission::AttemptState;
using admission::ServerResult;
using base::AttemptId;
using base::ErrorKind;

AdmissionActions Gate::Start(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return {};
  // Read again: the process may have been paused since the decision.
  const base::Instant now = base::Clock::now();
  if (const auto refusal = FindRefusalAtStart(*found->second, now)) {
    Refuse(id, refusal->error, refusal->retry_after);
    return admission_.Finish(id, now, ServerResult::kNotSent);
  }
  SendToServer(*found->second, now);
  return {};
}

std::optional<quarantine::QuarantineRejection> Gate::FindRefusalAtStart(
    const GateAttempt& attempt,
    base::Instant now) {
  if (!admission_.MaySend(attempt.id, now))
    return quarantine::QuarantineRejection{ErrorKind::kDeadlineTooClose, {}};
  if (!keyed_requests_.MayStart(attempt.id, now))
    return quarantine::QuarantineRejection{ErrorKind::kKeyRecordUnavailable,
                                           {}};
  // The verdict may have changed while the attempt was queued.
  return quarantine_filter_.FindRejection(attempt.guarded, now);
}

void Gate::SendToServer(GateAttempt& attempt, base::Instant now) {
  net::HttpRequest request = std::move(attempt.request);
  net::RemoveHopByHop(request.headers);
  net::RemoveHeader(request.headers, "Content-Length");
  attempt.started_at = now;
  attempt.life = server_.life;
  attempt.instance = server_.instance;
  running_.OnStarted(attempt.name, {attempt.traffic_class, attempt.tenant});
  quarantine_filter_.OnStarted(attempt.id, attempt.guarded);
  const base::Duration remaining = attempt.deadline - now;
  protocol_.prepare(request, {remaining, server_.instance});
  attempt.transfer = client_.Stream(
      server_.address, std::move(request), remaining,
      [this, id = attempt.id](const auto& head) {
        return StartRelay(id, head);
      },
      [this, id = attempt.id](std::string_view part) {
        return RelayPart(id, part);
      },
      [this, id = attempt.id](auto result) {
        OnServerDone(id, std::move(result));
      });
  if (attempt.unread_body > 0)
    StreamBody(attempt);
}

void Gate::StreamBody(GateAttempt& attempt) {
  client_.OnBodyRoom(attempt.transfer,
                     [this, id = attempt.id] { ContinueBody(id); });
  attempt.reply.ReadBody([this, id = attempt.id](std::string part) {
    return PassOnBodyPart(id, std::move(part));
  });
}

bool Gate::PassOnBodyPart(const AttemptId& id, std::string part) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return true;
  GateAttempt& attempt = *found->second;
  attempt.unread_body -= std::min<uint64_t>(attempt.unread_body, part.size());
  if (attempt.unread_body == 0)
    body_inquiries_.OnArrived(id, base::Clock::now());
  return client_.AppendBody(attempt.transfer, std::move(part));
}

void Gate::ContinueBody(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  GateAttempt& attempt = *found->second;
  net::Reply& reply = attempt.relay ? attempt.relay->reply() : attempt.reply;
  reply.ContinueBody();
}

bool Gate::StartRelay(const AttemptId& id, const net::HttpAnswer& head) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() ||
      protocol_.classify_response(head) != server::ServerVerdict::kAnswered) {
    return false;
  }
  GateAttempt& attempt = *found->second;
  if (!traffic::ShouldRelay(attempt.method, head))
    return false;
  if (attempt.life == server_.life)
    OnServerNotice(head.headers, *attempt.started_at);
  const base::Instant now = base::Clock::now();
  keyed_requests_.OnStreamed(id, now);
  const base::Duration server_time = now - *attempt.started_at;
  net::HttpAnswer answer = MakePeerAnswer(head, server_time);
  AddLoad(answer);
  attempt.relay = std::make_unique<traffic::AnswerRelay>(
      client_, attempt.transfer, std::move(answer), std::move(attempt.reply),
      [this, id] {
        loop_.Defer(this, [this, id] { OnPeerDisconnected(id); });
      });
  return true;
}

bool Gate::RelayPart(const AttemptId& id, std::string_view part) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() || found->second->relay->Write(part);
}

void Gate::OnServerDone(const AttemptId& id,
                        http_client::TransferResult result) {
  // A stopped attempt was removed when it was cancelled, so its result is
  // ignored.
  const auto ended = attempts_.extract(id);
  if (ended.empty())
    return;
  GateAttempt& attempt = *ended.mapped();
  attempt.on_kept_connection = result.on_kept_connection;
  const base::Instant now = base::Clock::now();
  const server::ServerVerdict verdict =
      result.end == http_client::TransferEnd::kComplete
          ? protocol_.classify_response(result.answer)
          : server::ServerVerdict::kUnusable;
  const bool has_failed_call = result.end == http_client::TransferEnd::kComplete
                                   ? running_.OnEnded(attempt.name)
                                   : running_.OnAbandoned(attempt.name);
  // Of a streamed answer, the head was evaluated when it arrived.
  const bool has_notice = result.end == http_client::TransferEnd::kComplete &&
                          verdict != server::ServerVerdict::kOtherInstance &&
                          verdict != server::ServerVerdict::kUnusable &&
                          attempt.life == server_.life && !attempt.relay;
  if (has_notice)
    OnServerNotice(result.answer.headers, *attempt.started_at);
  RecordEnd(attempt, {result.end, verdict, has_failed_call}, result, now);
  AdmissionActions actions =
      admission_.Finish(id, now, ToServerResult(result.end, verdict));
  const auto error = ErrorOf(result.end, verdict);
  Record(attempt, error, now);
  if (attempt.relay) {
    attempt.relay->End(result.end);
  } else if (error) {
    Answer(attempt, net::MakeErrorAnswer(*error));
  } else {
    net::HttpAnswer answer =
        MakePeerAnswer(std::move(result.answer), now - *attempt.started_at);
    if (has_failed_call)
      answer.headers.push_back({wire::kCallFailedHeader, "1"});
    Answer(attempt, std::move(answer));
  }
  Perform(std::move(actions));
  CheckEmpty();
}

void Gate::RecordEnd(const GateAttempt& attempt,
                     server::RequestResult end,
                     const http_client::TransferResult& result,
                     base::Instant now) {
  end.life = attempt.life;
  end.is_refused = result.is_refused;
  end.fingerprint = attempt.guarded.fingerprint;
  end.is_suspect = attempt.guarded.is_suspect;
  end.is_over_cold_rate = admission_.cold_limiter().IsOverRateLimit(now);
  end.started_at = *attempt.started_at;
  end.instance = attempt.instance;
  observer_.OnRequestResult(end, result.answer, now);
  // An answer that cannot be relayed still shows that the server is running.
  const bool is_answered = end.end == http_client::TransferEnd::kComplete &&
                           (end.verdict == server::ServerVerdict::kAnswered ||
                            end.verdict == server::ServerVerdict::kUnusable);
  const auto answered_by = is_answered ? std::optional(end.life) : std::nullopt;
  if (quarantine_filter_.OnEnded(attempt.id, end.fingerprint, answered_by, now))
    outputs_.suspect_answered(end.fingerprint);
}

void Gate::OnServerCrashed(
    const std::vector<admission::InterruptedRequest>& interrupted) {
  LogServerCrash(server_.service, interrupted);
  // If the server had got more requests than a cold one tolerates, their number
  // explains the crash and no single request is blamed.
  const bool is_explained = std::ranges::all_of(
      interrupted, &admission::InterruptedRequest::is_over_cold_rate);
  if (is_explained)
    return;
  std::vector<quarantine::RunningRequest> running;
  running.reserve(interrupted.size());
  for (const admission::InterruptedRequest& request : interrupted) {
    running.push_back({request.fingerprint,
                       request.interrupted_at - request.started_at,
                       request.is_suspect});
  }
  const quarantine::CrashId crash{
      identity_.id, static_cast<uint32_t>(interrupted.front().life)};
  outputs_.server_crash(
      quarantine_filter_.AttributeCrash(crash, running, base::Clock::now()));
}

void Gate::CancelQuarantined() {
  const base::Instant now = base::Clock::now();
  std::vector<std::pair<AttemptId, base::Duration>> quarantined;
  for (const auto& [id, attempt] : attempts_) {
    const auto refusal =
        quarantine_filter_.FindRejection(attempt->guarded, now);
    if (refusal && refusal->error == ErrorKind::kRequestQuarantined)
      quarantined.emplace_back(id, refusal->retry_after);
  }
  for (const auto& [id, retry_after] : quarantined) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
      continue;
    CancelAttempt(id, found->second->may_stop,
                  {ErrorKind::kRequestQuarantined, ErrorKind::kRequestStopped,
                   retry_after});
  }
}

// Returns the state after the call. kRunning: the attempt goes on or, if it was
// stopped, ran until now and may have taken effect.
AttemptState Gate::CancelAttempt(const AttemptId& id,
                                 bool stop_running,
                                 const CancelReason& reason) {
  const base::Instant now = base::Clock::now();
  const AttemptState before = admission_.Cancel(id, now);
  if (before == AttemptState::kQueued) {
    Refuse(id, reason.not_run, reason.retry_after);
    return AttemptState::kNeverRuns;
  }
  if (before != AttemptState::kRunning)
    return before;
  if (CancelUnsent(id, reason, now))
    return AttemptState::kNeverRuns;
  if (!stop_running)
    return before;
  auto node = attempts_.extract(id);
  if (!node.empty()) {
    node.mapped()->on_kept_connection =
        client_.IsOnKeptConnection(node.mapped()->transfer);
    client_.Cancel(node.mapped()->transfer);
    running_.OnAbandoned(node.mapped()->name);
    quarantine_filter_.OnEnded(id, node.mapped()->guarded.fingerprint,
                               std::nullopt, now);
    Record(*node.mapped(), reason.stopped, now);
    Answer(*node.mapped(),
           wire::MakePeerErrorAnswer(reason.stopped, reason.retry_after));
  }
  Perform(admission_.Finish(id, now, ServerResult::kUncertain));
  CheckEmpty();
  return before;
}

bool Gate::CancelUnsent(const AttemptId& id,
                        const CancelReason& reason,
                        base::Instant now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || client_.IsSent(found->second->transfer))
    return false;
  client_.Cancel(found->second->transfer);
  running_.OnEnded(found->second->name);
  quarantine_filter_.OnEnded(id, found->second->guarded.fingerprint,
                             std::nullopt, now);
  Refuse(id, reason.not_run, reason.retry_after);
  Perform(admission_.Finish(id, now, ServerResult::kNotSent));
  CheckEmpty();
  return true;
}

void Gate::OnPeerDisconnected(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  // A server does not handle a request whose body never becomes complete.
  const bool is_incomplete = found->second->unread_body > 0;
  CancelAttempt(id, found->second->may_stop || is_incomplete, {});
}

}  // namespace chestnutport::gate
