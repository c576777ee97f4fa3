// Status queries and cancellations of attempts that have not been answered.
#include <algorithm>

#include "calls/call.h"

namespace chestnutport::calls {
namespace {

using base::ErrorKind;
using base::Instant;

constexpr std::chrono::seconds kMaxQueryInterval(1);
// Time until the next query after the server is first reported to have
// finished: its answer may still be in transit.
constexpr std::chrono::milliseconds kFinishedGrace(250);

}  // namespace

NextSteps Call::OnStatusReply(int attempt,
                              AttemptStatus status,
                              bool cancelled,
                              Instant now) {
  NextSteps steps;
  if (is_over_)
    return steps;
  const Phase phase = attempts_[attempt].phase;
  if (phase != Phase::kInFlight && phase != Phase::kResolving)
    return steps;
  if (cancelled)
    OnCancelReply(steps, attempt, status, now);
  else
    OnQueryReply(steps, attempt, status, now);
  return steps;
}

void Call::OnQueryReply(NextSteps& steps,
                        int attempt,
                        AttemptStatus status,
                        Instant now) {
  Attempt& queried = attempts_[attempt];
  if (queried.is_cancel_sent)
    return;  // The reply to the cancellation, which was sent later, decides.
  queried.is_query_pending = false;
  queried.query_interval =
      std::min<base::Duration>(queried.query_interval * 2, kMaxQueryInterval);
  queried.next_query_at = now + queried.query_interval;
  switch (status) {
    case AttemptStatus::kNeverRuns:
      steps.push_back({Step::kCloseConnection, attempt});
      OnNotRun(steps, attempt, ErrorKind::kSilentConnection, {}, now);
      return;
    case AttemptStatus::kUnknownHere:
      Cancel(steps, attempt);
      return;
    case AttemptStatus::kFinished:
      if (queried.was_reported_finished) {
        steps.push_back({Step::kCloseConnection, attempt});
        OnLost(steps, attempt, ErrorKind::kSilentConnection, now);
        return;
      }
      queried.was_reported_finished = true;
      queried.next_query_at = now + kFinishedGrace;
      return;
    case AttemptStatus::kNoAnswer:
      if (attempts_.size() == 1 && MayRetry(now) && TryTakeRetry())
        Send(steps, now);
      return;
    case AttemptStatus::kQueued:
    case AttemptStatus::kRunning:
      return;
  }
}

void Call::OnCancelReply(NextSteps& steps,
                         int attempt,
                         AttemptStatus status,
                         Instant now) {
  Attempt& queried = attempts_[attempt];
  queried.is_query_pending = false;
  if (status == AttemptStatus::kNeverRuns) {
    // After the cancellation before the deadline, the connection is kept: if it
    // is only slow, it still delivers the refusal.
    if (queried.phase == Phase::kInFlight && !has_cancelled_)
      steps.push_back({Step::kCloseConnection, attempt});
    OnNotRun(steps, attempt, ErrorKind::kCancelled, {}, now);
    return;
  }
  if (queried.phase == Phase::kInFlight)
    return;  // Its answer may still come before the deadline.
  queried.phase = Phase::kMayHaveRun;
  AnswerIfResolved(steps);
}

void Call::QueryIfOverdue(NextSteps& steps, int attempt, Instant now) {
  Attempt& overdue = attempts_[attempt];
  if (has_cancelled_ || overdue.phase != Phase::kInFlight ||
      overdue.is_query_pending || now < overdue.next_query_at) {
    return;
  }
  if (!budgets_.status_queries.TryTake()) {
    overdue.next_query_at = now + overdue.query_interval;
    return;
  }
  overdue.is_query_pending = true;
  steps.push_back({Step::kQueryStatus, attempt});
}

}  // namespace chestnutport::calls
