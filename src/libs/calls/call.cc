#include "calls/call.h"

#include <algorithm>

namespace chestnutport::calls {
namespace {

using base::ErrorKind;
using base::Instant;

constexpr int kNoAttempt = -1;
// The cancel lead is at most this fraction (1/N) of the time to the deadline.
constexpr int kCancelLeadDivisor = 4;

// A refusal due to overload: the other servers may be overloaded too.
bool IsBackPressure(ErrorKind refusal) {
  return refusal == ErrorKind::kOverloaded ||
         refusal == ErrorKind::kDeadlineTooClose ||
         refusal == ErrorKind::kServerShed;
}

}  // namespace

Call::Call(const CallPolicy& policy,
           Instant now,
           Instant deadline,
           const CallBudgets& budgets)
    : policy_(policy),
      deadline_(deadline),
      cancel_at_(deadline - std::min<base::Duration>(
                                policy.cancel_lead,
                                (deadline - now) / kCancelLeadDivisor)),
      hedge_at_(Instant::max()),
      budgets_(budgets) {
  budgets_.service.OnCall();
  budgets_.node.OnCall();
  budgets_.hedges.OnCall();
  budgets_.refusals.OnCall();
  budgets_.status_queries.OnCall();
  const bool may_hedge = policy.is_repeatable && !policy.is_retried_above &&
                         !policy.is_pinned_to_server;
  if (may_hedge && policy.hedge_delay > base::Duration::zero())
    hedge_at_ = now + policy.hedge_delay;
}

NextSteps Call::Start(Instant now) {
  NextSteps steps;
  Send(steps, now);
  return steps;
}

NextSteps Call::OnNoServer(int attempt, Instant now) {
  NextSteps steps;
  if (is_over_)
    return steps;
  Attempt& unsent = attempts_[attempt];
  unsent.phase = Phase::kNotRun;
  unsent.next_query_at = now;
  AnswerIfResolved(steps);
  return steps;
}

NextSteps Call::OnQuarantined(int attempt,
                              base::Duration retry_after,
                              Instant now) {
  last_refusal_ = ErrorKind::kRequestQuarantined;
  retry_after_ = retry_after;
  return OnNoServer(attempt, now);
}

NextSteps Call::OnAttemptEnd(int attempt, const AttemptEnd& end, Instant now) {
  NextSteps steps;
  if (is_over_ || attempts_[attempt].phase != Phase::kInFlight)
    return steps;
  switch (end.verdict) {
    case AttemptVerdict::kAnswered:
      steps.push_back({Step::kRelayAnswer, attempt});
      End(steps, attempt);
      break;
    case AttemptVerdict::kFailed:
      attempts_[attempt].phase = Phase::kFailed;
      if (!IsInFlight() && MayRetry(now) && TryTakeRetry())
        Send(steps, now);
      else
        AnswerIfResolved(steps);
      break;
    case AttemptVerdict::kRefused:
      OnNotRun(steps, attempt, end.error, end.retry_after, now);
      break;
    case AttemptVerdict::kNotSent:
      OnNotRun(steps, attempt, ErrorKind::kConnectFailed, {}, now);
      break;
    case AttemptVerdict::kLost:
      OnLost(steps, attempt, end.error, now);
      break;
    case AttemptVerdict::kFinalError:
      steps.push_back(
          {Step::kAnswerError, attempt, end.error, end.retry_after});
      End(steps, attempt);
      break;
  }
  return steps;
}

NextSteps Call::OnTimer(Instant now) {
  NextSteps steps;
  if (is_over_)
    return steps;
  if (now >= deadline_) {
    SendFinalAnswer(steps);
    return steps;
  }
  if (now >= cancel_at_ && !has_cancelled_)
    CancelInFlight(steps);
  if (now >= hedge_at_)
    Hedge(steps, now);
  for (int attempt = 0; attempt < attempts(); ++attempt)
    QueryIfOverdue(steps, attempt, now);
  return steps;
}

NextSteps Call::OnCallerDisconnected(Instant /*now*/) {
  NextSteps steps;
  if (is_over_)
    return steps;
  is_over_ = true;
  // Also those whose cancellation was sent: it may get lost.
  for (int attempt = 0; attempt < attempts(); ++attempt) {
    if (IsOpen(attempts_[attempt]))
      steps.push_back({Step::kAbandon, attempt});
  }
  return steps;
}

Instant Call::next_timer() const {
  if (has_cancelled_)
    return deadline_;
  Instant next = std::min(cancel_at_, hedge_at_);
  for (const Attempt& attempt : attempts_) {
    if (attempt.phase == Phase::kInFlight && !attempt.is_query_pending)
      next = std::min(next, attempt.next_query_at);
  }
  return next;
}

bool Call::IsOpen(const Attempt& attempt) {
  return attempt.phase == Phase::kInFlight ||
         attempt.phase == Phase::kResolving;
}

bool Call::HasOpenAttempts() const {
  return std::ranges::any_of(attempts_, IsOpen);
}

bool Call::MayHaveRun() const {
  return std::ranges::any_of(attempts_, [](const Attempt& attempt) {
    return attempt.phase != Phase::kNotRun;
  });
}

bool Call::IsInFlight() const {
  return std::ranges::any_of(attempts_, [](const Attempt& attempt) {
    return attempt.phase == Phase::kInFlight;
  });
}

bool Call::MaySend(Instant now) const {
  return !policy_.is_pinned_to_server && !has_cancelled_ && now < cancel_at_ &&
         attempts() < policy_.max_sends &&
         ServersReached() < policy_.max_servers;
}

int Call::ServersReached() const {
  const auto reached = std::ranges::count_if(
      attempts_,
      [](const Attempt& attempt) { return attempt.phase != Phase::kNotRun; });
  return static_cast<int>(reached) + server_refusals_;
}

bool Call::MayRetry(Instant now) const {
  return policy_.is_repeatable && !policy_.is_retried_above && MaySend(now);
}

bool Call::MayResendUnrun(ErrorKind refusal, Instant now) {
  // A quarantine applies to all servers.
  if (refusal == ErrorKind::kRequestQuarantined)
    return false;
  if (!MaySend(now) || IsInFlight() || (!policy_.is_repeatable && MayHaveRun()))
    return false;
  if (refusal == ErrorKind::kServerShed && policy_.counts_server_refusals)
    return TryTakeRetry();
  return !IsBackPressure(refusal) || budgets_.refusals.TryTake();
}

bool Call::TryTakeRetry() {
  return budgets_.service.TryTake() && budgets_.node.TryTake();
}

void Call::Send(NextSteps& steps, Instant now) {
  Attempt attempt;
  attempt.query_interval = policy_.status_query_delay;
  attempt.next_query_at = now + policy_.status_query_delay;
  attempts_.push_back(attempt);
  steps.push_back({Step::kSend, attempts() - 1});
}

void Call::Cancel(NextSteps& steps, int attempt) {
  if (attempts_[attempt].is_cancel_sent)
    return;
  attempts_[attempt].is_cancel_sent = true;
  attempts_[attempt].is_query_pending = true;
  steps.push_back({Step::kCancel, attempt});
}

void Call::OnNotRun(NextSteps& steps,
                    int attempt,
                    ErrorKind error,
                    base::Duration retry_after,
                    Instant now) {
  attempts_[attempt].phase = Phase::kNotRun;
  if (error == ErrorKind::kServerShed && policy_.counts_server_refusals)
    ++server_refusals_;
  last_refusal_ = error;
  retry_after_ = retry_after;
  // A retry or hedge that a slow server's gate returned unrun is sent to
  // another server, even while other attempts are in flight.
  const bool moves_on =
      error == ErrorKind::kServerSlow && policy_.is_repeatable && MaySend(now);
  if (moves_on || MayResendUnrun(error, now))
    Send(steps, now);
  else
    AnswerIfResolved(steps);
}

void Call::OnLost(NextSteps& steps, int attempt, ErrorKind error, Instant now) {
  Attempt& lost = attempts_[attempt];
  lost_error_ = error;
  const bool is_settled = lost.is_cancel_sent && !lost.is_query_pending;
  lost.phase = is_settled ? Phase::kMayHaveRun : Phase::kResolving;
  Cancel(steps, attempt);
  if (!IsInFlight() && MayRetry(now) && TryTakeRetry())
    Send(steps, now);
  else
    AnswerIfResolved(steps);
}

void Call::CancelInFlight(NextSteps& steps) {
  has_cancelled_ = true;
  for (int attempt = 0; attempt < attempts(); ++attempt) {
    if (attempts_[attempt].phase == Phase::kInFlight)
      Cancel(steps, attempt);
  }
}

void Call::Hedge(NextSteps& steps, Instant now) {
  hedge_at_ = Instant::max();
  if (ServersReached() != 1 || !IsInFlight() || !MayRetry(now))
    return;
  if (budgets_.hedges.TryTake() && TryTakeRetry())
    Send(steps, now);
}

void Call::AnswerIfResolved(NextSteps& steps) {
  if (!HasOpenAttempts())
    SendFinalAnswer(steps);
}

void Call::SendFinalAnswer(NextSteps& steps) {
  const auto failed =
      std::ranges::find(attempts_, Phase::kFailed, &Attempt::phase);
  if (failed != attempts_.end()) {
    const int attempt = static_cast<int>(failed - attempts_.begin());
    steps.push_back({Step::kRelayAnswer, attempt});
    End(steps, attempt);
    return;
  }
  const bool may_have_run = MayHaveRun();
  const ErrorKind error = may_have_run ? lost_error_ : last_refusal_;
  base::Duration retry_after = base::AnswerTo(error).retry_after;
  if (!may_have_run && retry_after_ > base::Duration::zero())
    retry_after = retry_after_;
  steps.push_back({Step::kAnswerError, kNoAttempt, error, retry_after});
  End(steps, kNoAttempt);
}

void Call::End(NextSteps& steps, int kept_attempt) {
  is_over_ = true;
  for (int attempt = 0; attempt < attempts(); ++attempt) {
    if (attempt == kept_attempt)
      continue;
    if (attempts_[attempt].phase == Phase::kInFlight &&
        !attempts_[attempt].is_cancel_sent) {
      steps.push_back({Step::kAbandon, attempt});
    }
  }
}

}  // namespace chestnutport::calls
