// What becomes of attempts at the server: handing them over, their ends, and
// stopping them.
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
  // Read anew: the process may have been stopped since the decision.
  const base::Instant now = base::Clock::now();
  if (const auto refusal = RefusalAtStart(*found->second, now)) {
    Refuse(id, refusal->error, refusal->retry_after);
    return admission_.Finish(id, now, ServerResult::kNotSent);
  }
  Serve(*found->second, now);
  return {};
}

std::optional<quarantine::QuarantineRejection> Gate::RefusalAtStart(
    const GateAttempt& attempt,
    base::Instant now) {
  if (!admission_.MaySend(attempt.id, now))
    return quarantine::QuarantineRejection{ErrorKind::kDeadlineTooClose, {}};
  if (!keyed_requests_.MayStart(attempt.id, now))
    return quarantine::QuarantineRejection{ErrorKind::kKeyRecordUnavailable,
                                           {}};
  // It may have waited while a verdict was passed.
  return guard_.Judge(attempt.guarded, now);
}

void Gate::Serve(GateAttempt& attempt, base::Instant now) {
  net::HttpRequest request = std::move(attempt.request);
  net::RemoveHopByHop(request.headers);
  net::RemoveHeader(request.headers, "Content-Length");
  attempt.started_at = now;
  attempt.life = server_.life;
  attempt.instance = server_.instance;
  running_.OnStarted(attempt.name, attempt.traffic_class);
  guard_.OnStarted(attempt.id, attempt.guarded);
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
}

bool Gate::StartRelay(const AttemptId& id, const net::HttpAnswer& head) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() ||
      protocol_.judge(head) != server::ServerVerdict::kAnswered) {
    return false;
  }
  GateAttempt& attempt = *found->second;
  if (!traffic::IsRelayed(attempt.method, head))
    return false;
  const base::Instant now = base::Clock::now();
  keyed_requests_.OnStreamed(id, now);
  const base::Duration server_time = now - *attempt.started_at;
  net::HttpAnswer answer = ForPeer(head, server_time);
  AddLoad(answer);
  attempt.relay = std::make_unique<traffic::AnswerRelay>(
      client_, attempt.transfer, std::move(answer), std::move(attempt.reply),
      [this, id] { loop_.Defer(this, [this, id] { OnPeerGone(id); }); });
  return true;
}

bool Gate::RelayPart(const AttemptId& id, std::string_view part) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() || found->second->relay->Write(part);
}

void Gate::OnServerDone(const AttemptId& id, net::TransferResult result) {
  // One that is stopped is cancelled first, so its end is not heard of.
  const auto ended = attempts_.extract(id);
  if (ended.empty())
    return;
  GateAttempt& attempt = *ended.mapped();
  const base::Instant now = base::Clock::now();
  const server::ServerVerdict verdict =
      result.end == net::TransferEnd::kComplete
          ? protocol_.judge(result.answer)
          : server::ServerVerdict::kUnusable;
  const bool has_failed_call = running_.OnEnded(attempt.name);
  NoteEnd(attempt, {result.end, verdict, has_failed_call}, result, now);
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
        ForPeer(std::move(result.answer), now - *attempt.started_at);
    if (has_failed_call)
      answer.headers.push_back({wire::kCallFailedHeader, "1"});
    Answer(attempt, std::move(answer));
  }
  Perform(std::move(actions));
  CheckEmpty();
}

void Gate::NoteEnd(const GateAttempt& attempt,
                   server::RequestEnd end,
                   const net::TransferResult& result,
                   base::Instant now) {
  end.life = attempt.life;
  end.is_refused = result.is_refused;
  end.fingerprint = attempt.guarded.fingerprint;
  end.is_suspect = attempt.guarded.is_suspect;
  end.is_over_cold_rate = admission_.cold().IsOverRate(now);
  end.started_at = *attempt.started_at;
  end.instance = attempt.instance;
  observer_.OnRequestEnd(end, result.answer, now);
  // Also an answer that cannot be handed on comes from a server that goes on.
  const bool is_answered = end.end == net::TransferEnd::kComplete &&
                           (end.verdict == server::ServerVerdict::kAnswered ||
                            end.verdict == server::ServerVerdict::kUnusable);
  const auto answered_by = is_answered ? std::optional(end.life) : std::nullopt;
  if (guard_.OnEnded(attempt.id, end.fingerprint, answered_by, now))
    outputs_.suspect_answered(end.fingerprint);
}

void Gate::OnServerEnded(const std::vector<admission::BrokenRequest>& broken) {
  LogServerEnd(server_.service, broken);
  // What it got in all explains the end, so no single request is blamed.
  const bool is_explained =
      std::ranges::all_of(broken, &admission::BrokenRequest::is_over_cold_rate);
  if (is_explained)
    return;
  std::vector<quarantine::RunningRequest> running;
  running.reserve(broken.size());
  for (const admission::BrokenRequest& request : broken) {
    running.push_back({request.fingerprint,
                       request.broken_at - request.started_at,
                       request.is_suspect});
  }
  const quarantine::CrashId crash{identity_.id,
                                  static_cast<uint32_t>(broken.front().life)};
  outputs_.server_crash(
      guard_.AttributeCrash(crash, running, base::Clock::now()));
}

void Gate::DropQuarantined() {
  const base::Instant now = base::Clock::now();
  std::vector<std::pair<AttemptId, base::Duration>> dropped;
  for (const auto& [id, attempt] : attempts_) {
    const auto refusal = guard_.Judge(attempt->guarded, now);
    if (refusal && refusal->error == ErrorKind::kRequestQuarantined)
      dropped.emplace_back(id, refusal->retry_after);
  }
  for (const auto& [id, retry_after] : dropped) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
      continue;
    CancelAttempt(id, found->second->may_stop,
                  {ErrorKind::kRequestQuarantined, ErrorKind::kRequestStopped,
                   retry_after});
  }
}

// Returns the state after it; kRunning: it runs on or, if stopped, ran until
// now and may have taken effect.
AttemptState Gate::CancelAttempt(const AttemptId& id,
                                 bool stop_running,
                                 const CancelReason& reason) {
  const base::Instant now = base::Clock::now();
  const AttemptState before = admission_.Cancel(id, now);
  if (before == AttemptState::kQueued) {
    Refuse(id, reason.unrun, reason.retry_after);
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
    client_.Cancel(node.mapped()->transfer);
    running_.OnEnded(node.mapped()->name);
    guard_.OnEnded(id, node.mapped()->guarded.fingerprint, std::nullopt, now);
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
  guard_.OnEnded(id, found->second->guarded.fingerprint, std::nullopt, now);
  Refuse(id, reason.unrun, reason.retry_after);
  Perform(admission_.Finish(id, now, ServerResult::kNotSent));
  CheckEmpty();
  return true;
}

void Gate::OnPeerGone(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  CancelAttempt(id, found->second->may_stop, {});
}

}  // namespace chestnutport::gate
