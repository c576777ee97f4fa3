// Controls one caller's request at its ingress node. Decides when to
// send, query, cancel or retry an attempt, and what the single final answer is.
// Performs no I/O: takes events and returns the next steps.
//
// Two invariants hold for any order of events:
// - A request that is not repeatable is sent again only once every earlier
//   attempt is known never to run.
// - The caller gets the outcome "not run" only if it is known that no attempt
//   ran or will run.
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
  // `now`: when the request arrived.
  Call(const CallPolicy& policy,
       base::Instant now,
       base::Instant deadline,
       const CallBudgets& budgets);

  // Returns the first attempt to send. Must be called once, before any event.
  NextSteps Start(base::Instant now);
  // No server was available for `attempt`.
  NextSteps OnNoServer(int attempt, base::Instant now);
  // The request is quarantined for `retry_after` and must not be sent to any
  // server.
  NextSteps OnQuarantined(int attempt,
                          base::Duration retry_after,
                          base::Instant now);
  NextSteps OnAttemptEnd(int attempt, const AttemptEnd& end, base::Instant now);
  // The reply to kCancel if `cancelled`, otherwise to kQueryStatus.
  NextSteps OnStatusReply(int attempt,
                          AttemptStatus status,
                          bool cancelled,
                          base::Instant now);
  // Must be called at or after `next_timer()`.
  NextSteps OnTimer(base::Instant now);
  NextSteps OnCallerDisconnected(base::Instant now);

  base::Instant next_timer() const;
  base::Instant deadline() const { return deadline_; }
  int attempts() const { return static_cast<int>(attempts_.size()); }
  // Whether the final answer was given or the caller has disconnected.
  bool IsOver() const { return is_over_; }

 private:
  enum class Phase {
    kInFlight,    // Sent, and not ended.
    kResolving,   // Its connection was lost; the other node's reply to a
                  // cancellation is awaited.
    kNotRun,      // Has not run and never will.
    kMayHaveRun,  // May have run; no further reply is expected.
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

  // Whether the attempt is in flight, or the reply to the cancellation of a
  // lost one is outstanding.
  static bool IsOpen(const Attempt& attempt);
  bool IsInFlight() const;
  // Number of servers that received the request, or may have.
  int ServersReached() const;
  bool HasOpenAttempts() const;
  bool MayHaveRun() const;
  bool MaySend(base::Instant now) const;
  bool MayRetry(base::Instant now) const;
  // Whether an attempt that was refused without running may be sent to another
  // server. Takes from the budget that applies.
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
                    AttemptStatus status,
                    base::Instant now);
  void OnCancelReply(NextSteps& steps,
                     int attempt,
                     AttemptStatus status,
                     base::Instant now);
  void CancelInFlight(NextSteps& steps);
  void Hedge(NextSteps& steps, base::Instant now);
  void QueryIfOverdue(NextSteps& steps, int attempt, base::Instant now);
  // Gives the final answer once no attempt is open.
  void AnswerIfResolved(NextSteps& steps);
  void SendFinalAnswer(NextSteps& steps);
  void End(NextSteps& steps, int kept_attempt);

  CallPolicy policy_;
  base::Instant deadline_;
  base::Instant cancel_at_;
  base::Instant hedge_at_;  // Instant::max() if no hedge is due.
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
