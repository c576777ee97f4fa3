// Error answers to callers, and the metrics of their calls.
#include <algorithm>
#include <utility>

#include "base/error_kind.h"
#include "calls/retry_delay.h"
#include "ingress/call_log.h"
#include "ingress/ingress.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::ingress {
namespace {

// A quarantine may have expired since its verdict was read.
constexpr std::chrono::milliseconds kMinRetryAfter(1);
constexpr int kServerError = 500;

// Returns the error to report to the caller. A request with an idempotency key
// may have run under this key before, so "not run" is reported only if the
// key's owner confirmed that the key is new.
base::ErrorKind ErrorForCaller(const ActiveCall& call, base::ErrorKind error) {
  const bool is_not_run =
      base::AnswerTo(error).outcome == base::Outcome::kNotRun;
  if (call.request.idempotency_key.empty() || !is_not_run ||
      error == base::ErrorKind::kKeyMismatch) {
    return error;
  }
  const bool is_new =
      std::ranges::any_of(call.attempts, [](const SentAttempt& sent) {
        return !net::FindHeader(sent.answer.headers, wire::kKeyNewHeader)
                    .empty();
      });
  return is_new ? error : base::ErrorKind::kKeyRecordUnavailable;
}

int MovesOf(const ActiveCall& call) {
  return static_cast<int>(
      std::ranges::count_if(call.attempts, [](const SentAttempt& sent) {
        return sent.end && sent.end->error == base::ErrorKind::kServerSlow;
      }));
}

}  // namespace

std::optional<base::Duration> Ingress::RemainingQuarantine(
    const CallerRequest& request) const {
  const quarantine::VerdictUntil verdict = verdicts_->Of(request.fingerprint);
  // The gate of the key's owner checks requests with an idempotency key.
  const bool has_key = !request.idempotency_key.empty();
  if (has_key || verdict.verdict != quarantine::Verdict::kQuarantined)
    return std::nullopt;
  return std::max<base::Duration>(verdict.until - loop_.now(), kMinRetryAfter);
}

bool Ingress::RefuseQuarantined(const CallerRequest& request,
                                net::Reply& reply) {
  const auto left = RemainingQuarantine(request);
  if (!left)
    return false;
  Refuse(request, reply, base::ErrorKind::kRequestQuarantined, *left);
  return true;
}

void Ingress::RefuseByLimit(HeldRequest held,
                            base::ErrorKind error,
                            base::Duration retry_after) {
  // The time to the next token is reported in full even if it passes the
  // caller's deadline, since an earlier retry would be refused again.
  const bool is_known = error == base::ErrorKind::kRateLimited;
  retry_after = std::max<base::Duration>(retry_after, kMinRetryAfter);
  if (protocol_.supports_subsecond_retry_delay && !is_known) {
    retry_after = calls::RetryDelay(
        retry_after, held.arrived_at + held.request.remaining - loop_.now(),
        random_);
  }
  Refuse(held.request, held.reply, error, retry_after);
}

void Ingress::Refuse(const CallerRequest& request,
                     net::Reply& reply,
                     base::ErrorKind error,
                     base::Duration retry_after) {
  recorder_.Record(
      telemetry::CallRecord{.service = request.service,
                            .tenant = request.tenant,
                            .traffic_class = request.traffic_class,
                            .outcome = base::AnswerTo(error).outcome,
                            .error = error});
  LogCallRejected(request.name, request.fingerprint, request.tenant, error,
                  snapshot_.configuration->revision);
  if (running_.IsNested(request.name))
    running_.OnCallFailed(request.name);
  reply.Send(protocol_.error_answer({error, retry_after, request.name}));
}

net::HttpAnswer Ingress::Reject(const std::string& request_id,
                                base::ErrorKind error,
                                base::Duration retry_after) {
  recorder_.Record(telemetry::CallRecord{
      .outcome = base::AnswerTo(error).outcome, .error = error});
  LogCallRejected(request_id, {}, "", error, snapshot_.configuration->revision);
  return protocol_.error_answer({error, retry_after, request_id});
}

void Ingress::AnswerError(ActiveCall& call, const calls::NextStep& step) {
  const base::ErrorKind error = ErrorForCaller(call, step.error);
  Record(call, error, {});
  base::Duration retry_after = step.retry_after;
  // A quarantine lasts longer than any deadline, so its full duration is
  // reported instead of a delay within the deadline.
  const bool is_due_to_quarantine =
      error == base::ErrorKind::kRequestQuarantined ||
      error == base::ErrorKind::kRequestStopped;
  if (protocol_.supports_subsecond_retry_delay && !is_due_to_quarantine) {
    retry_after = calls::RetryDelay(
        retry_after, call.call_state.deadline() - loop_.now(), random_);
  }
  net::HttpAnswer answer =
      protocol_.error_answer({error, retry_after, call.request.name});
  LogCallEnd(
      call,
      {error, answer.status, retry_after, snapshot_.configuration->revision},
      loop_.now());
  call.reply.Send(std::move(answer));
}

void Ingress::Record(const ActiveCall& call,
                     std::optional<base::ErrorKind> error,
                     const net::HttpAnswer& answer) {
  const bool is_good = !error && answer.status < kServerError;
  if (call.is_nested && !is_good)
    running_.OnCallFailed(call.request.name);
  const auto outcome =
      error ? base::AnswerTo(*error).outcome : base::Outcome::kAnswered;
  if (call.has_token && outcome == base::Outcome::kNotRun)
    tenants_.Refund(call.request.tenant_account->name);
  recorder_.Record(telemetry::CallRecord{
      .service = call.request.service,
      .tenant = call.request.tenant,
      .traffic_class = call.request.traffic_class,
      .outcome = outcome,
      .error = error,
      .total = loop_.now() - call.arrived_at,
      .server_time = wire::PeerAnswerHead::Read(answer.headers).server_time,
      .attempts = call.call_state.attempts(),
      .moves = MovesOf(call),
      .hedges = call.hedges});
}

}  // namespace chestnutport::ingress
