// Decides what happens to one caller's request at its ingress node: which
// attempts are made, when one is asked about, cancelled or repeated, and what
// the one final answer is. Pure: events go in, the next steps come out.
//
// Two rules hold whatever the order of events. A request that may not be
// repeated is sent again only once each earlier attempt is known not to run.
// The caller is told "not run" only if that is known of every attempt.
#ifndef CALLS_CALL_H_
#define CALLS_CALL_H_

#include "absl/container/inlined_vector.h"
#include "base/error_kind.h"
#include "base/time.h"
#include "calls/attempt_end.h"
#include "calls/attempt_status.h"
#include "calls/call_policy.h"
#include "calls/next_step.h"

namespace chestnutport::calls {

class Call {
 public:
  // `now` is the arrival of the request.
  Call(const CallPolicy& policy,
       base::Instant now,
       base::Instant deadline,
       const CallBudgets& budgets);

  // Call once, first.
  NextSteps Start(base::Instant now);
  // There was no server to send `attempt` to.
  NextSteps OnNoServer(int attempt, base::Instant now);
  // The request may be handed to no server from now on, for `retry_after`.
  NextSteps OnQuarantined(int attempt,
                          base::Duration retry_after,
                          base::Instant now);
  NextSteps OnAttemptEnd(int attempt, const AttemptEnd& end, base::Instant now);
  // The answer to kQueryStatus or kCancel; `cancelled` says to which.
  NextSteps OnStatusReply(int attempt,
                          AttemptStatus answer,
                          bool cancelled,
                          base::Instant now);
  // Call at or after `next_timer()`.
  NextSteps OnTimer(base::Instant now);
  NextSteps OnCallerDisconnected(base::Instant now);

  base::Instant next_timer() const;
  base::Instant deadline() const { return deadline_; }
  int attempts() const { return static_cast<int>(attempts_.size()); }
  // The final answer was given, or nobody waits for it.
  bool IsOver() const { return is_over_; }

 private:
  enum class Phase {
    kInFlight,    // Its end has not come.
    kResolving,   // Its connection is gone; the other node is being asked.
    kNotRun,      // Known not to have run, and not to run.
    kMayHaveRun,  // Nothing more will be heard of it.
    kFailed,      // The server answered with a status of 500 or more.
  };

  struct Attempt {
    Phase phase = Phase::kInFlight;
    base::Instant next_query_at;
    base::Duration query_interval{};
    bool is_query_pending = false;
    bool is_cancel_sent = false;
    bool was_reported_finished = false;
  };

  bool IsInFlight() const;
  // Servers that were handed the request, or may have been.
  int ServersReached() const;
  // An answer, or one to a question, may still come.
  bool HasOpenAttempts() const;
  bool MayHaveRun() const;
  bool MaySend(base::Instant now) const;
  bool MayRetry(base::Instant now) const;
  bool MayResendUnrun(base::ErrorKind refusal, base::Instant now);
  bool TryTakeRetry();
  void Send(NextSteps& steps, base::Instant now);
  void Cancel(NextSteps& steps, int attempt);
  void OnNotRun(NextSteps& steps,
                int attempt,
                base::ErrorKind error,
                base::Duration retry_after,
                base::Instant now);
  void OnLost(NextSteps& steps,
              int attempt,
              base::ErrorKind error,
              base::Instant now);
  void OnQueryReply(NextSteps& steps,
                    int attempt,
                    AttemptStatus answer,
                    base::Instant now);
  void OnCancelReply(NextSteps& steps,
                     int attempt,
                     AttemptStatus answer,
                     base::Instant now);
  void CancelInFlight(NextSteps& steps);
  void Hedge(NextSteps& steps, base::Instant now);
  void QueryIfOverdue(NextSteps& steps, int attempt, base::Instant now);
  // Gives the final answer unless an attempt may still bring one.
  void AnswerIfResolved(NextSteps& steps);
  void SendFinalAnswer(NextSteps& steps);
  void End(NextSteps& steps, int kept_attempt);

  CallPolicy policy_;
  base::Instant deadline_;
  base::Instant cancel_at_;
  base::Instant hedge_at_;  // The clock's end: no hedge.
  CallBudgets budgets_;
  absl::InlinedVector<Attempt, 4> attempts_;
  int server_refusals_ = 0;
  bool has_cancelled_ = false;
  bool is_over_ = false;
  base::ErrorKind lost_error_ = base::ErrorKind::kDeadlinePassed;
  base::ErrorKind last_refusal_ = base::ErrorKind::kNoServer;
  base::Duration retry_after_{};
};

}  // namespace chestnutport::calls

#endif  // CALLS_CALL_H_
