// What a call does to find out what became of an attempt without an answer.
#include <algorithm>

#include "calls/call.h"

namespace chestnutport::calls {
namespace {

using base::ErrorKind;
using base::Instant;

constexpr std::chrono::seconds kLongestQuestionInterval(1);
// An answer may still be on its way when its server has finished.
constexpr std::chrono::milliseconds kFinishedGrace(250);

}  // namespace

NextSteps Call::OnSettled(int attempt,
                          SettleAnswer answer,
                          bool cancelled,
                          Instant now) {
  NextSteps steps;
  if (is_over_)
    return steps;
  const Phase phase = attempts_[attempt].phase;
  if (phase != Phase::kInFlight && phase != Phase::kSettling)
    return steps;
  if (cancelled)
    OnCancelAnswer(steps, attempt, answer, now);
  else
    OnState(steps, attempt, answer, now);
  return steps;
}

void Call::OnState(NextSteps& steps,
                   int attempt,
                   SettleAnswer answer,
                   Instant now) {
  Attempt& asked = attempts_[attempt];
  if (asked.cancel_asked)
    return;  // The answer to the later question decides.
  asked.question_open = false;
  asked.question_interval = std::min<base::Duration>(
      asked.question_interval * 2, kLongestQuestionInterval);
  asked.next_question = now + asked.question_interval;
  switch (answer) {
    case SettleAnswer::kNeverRuns:
      steps.push_back({Step::kDrop, attempt});
      OnNotRun(steps, attempt, ErrorKind::kSilentConnection, {}, now);
      return;
    case SettleAnswer::kUnknownHere:
      Cancel(steps, attempt);
      return;
    case SettleAnswer::kFinished:
      if (asked.seen_finished) {
        steps.push_back({Step::kDrop, attempt});
        OnLost(steps, attempt, ErrorKind::kSilentConnection, now);
        return;
      }
      asked.seen_finished = true;
      asked.next_question = now + kFinishedGrace;
      return;
    case SettleAnswer::kNoAnswer:
      if (attempts_.size() == 1 && MayRepeat(now) && TryTakeRepeat())
        Send(steps, now);
      return;
    case SettleAnswer::kQueued:
    case SettleAnswer::kRunning:
      return;
  }
}

void Call::OnCancelAnswer(NextSteps& steps,
                          int attempt,
                          SettleAnswer answer,
                          Instant now) {
  Attempt& asked = attempts_[attempt];
  asked.question_open = false;
  if (answer == SettleAnswer::kNeverRuns) {
    // A connection that is only slow brings the refusal, and is kept.
    if (asked.phase == Phase::kInFlight && !gave_up_)
      steps.push_back({Step::kDrop, attempt});
    OnNotRun(steps, attempt, ErrorKind::kCancelled, {}, now);
    return;
  }
  if (asked.phase == Phase::kInFlight)
    return;  // Its answer may still come before the deadline.
  asked.phase = Phase::kMayHaveRun;
  Conclude(steps);
}

void Call::AskIfSilent(NextSteps& steps, int attempt, Instant now) {
  Attempt& silent = attempts_[attempt];
  if (gave_up_ || silent.phase != Phase::kInFlight || silent.question_open ||
      now < silent.next_question) {
    return;
  }
  if (!budgets_.questions.TryTake()) {
    silent.next_question = now + silent.question_interval;
    return;
  }
  silent.question_open = true;
  steps.push_back({Step::kAsk, attempt});
}

}  // namespace chestnutport::calls
