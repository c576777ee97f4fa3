// The only way to a server: decides which attempts run, wait or are refused.
// Pure: time is passed in, and the actions that come out are carried out by
// the node.
#ifndef ADMISSION_ADMISSION_CONTROLLER_H_
#define ADMISSION_ADMISSION_CONTROLLER_H_

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_action.h"
#include "admission/arrival.h"
#include "admission/attempt_ledger.h"
#include "admission/attempt_state.h"
#include "admission/cold_start_limiter.h"
#include "admission/concurrency_limit.h"
#include "admission/fair_queue.h"
#include "admission/server_result.h"
#include "admission/traffic_shares.h"
#include "base/time.h"
#include "wire/load_report.h"

namespace chestnutport::admission {

struct AdmissionOptions {
  int slots = 12;               // Requests that the server runs at a time.
  int queue = 24;               // Requests that may wait.
  base::Duration cold_start{};  // Until a server that started is warm.
  ColdStartOptions cold;        // What it is given until then.
  TrafficShares shares;
  LedgerLimits ledger;  // Taken at construction only.
  // False: as many as the slots are given to the server, whatever is measured.
  bool adaptive = true;
};

class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionOptions& options);

  // What waits stays in the queue.
  void set_options(const AdmissionOptions& options);

  // Each attempt runs at most once: a second arrival is refused.
  AdmissionActions Arrive(const Arrival& arrival, base::Instant now);
  // What Arrive() would refuse at this moment; nothing: it would be let in. The
  // attempt stays unknown.
  std::optional<AdmissionAction> CheckRefusal(const Arrival& arrival,
                                              base::Instant now);
  // Whether an attempt that was to start may still be sent at `now`, a fresh
  // reading of the clock. If not, it is to be finished as kNotSent.
  bool MaySend(const base::AttemptId& attempt, base::Instant now) const;
  // An attempt that was started has ended.
  AdmissionActions Finish(const base::AttemptId& attempt,
                          base::Instant now,
                          ServerResult result = ServerResult::kAnswered);
  // Makes sure that the attempt does not start from now on, also if it arrives
  // later. Returns what became of it before: one that was queued, or that
  // never arrived (kNeverRuns), does not run.
  AttemptState Cancel(const base::AttemptId& attempt, base::Instant now);
  // What became of the attempt; changes nothing.
  AttemptState State(const base::AttemptId& attempt) const;
  // Refuses what waited too long, forgets old ends, and starts what a raised
  // limit allows. Call about each 10 ms.
  AdmissionActions Tick(base::Instant now);

  // From now on every arrival is refused; what waits is refused by the actions.
  AdmissionActions StartDrain(base::Instant now);
  void StopDrain() { draining_ = false; }
  // Another server, or another life of it, is there from now on.
  void OnServerStarted(base::Instant now);
  // A probe was handed to the server, which costs it as much as a request.
  void OnProbed(base::Instant now) { cold_limiter_.ConsumeToken(now); }
  // What the server says of how long it stays cold.
  ColdStartLimiter& cold_limiter() { return cold_limiter_; }
  const ColdStartLimiter& cold_limiter() const { return cold_limiter_; }

  // Whether an attempt that arrives now would start at once, if it is urgent.
  bool HasCapacity(base::Instant now) const {
    return queue_.size() == 0 && MayStart(0, now);
  }
  wire::LoadReport Load(base::Instant now) const;
  bool IsDraining() const { return draining_; }
  bool IsEmpty() const { return running_.empty() && queue_.size() == 0; }

 private:
  struct Running {
    FlowId flow = 0;
    base::Instant started;
    base::Instant deadline;
    bool at_limit = false;  // No more could be started beside it.
  };

  // Nothing: it may run or wait.
  std::optional<base::ErrorKind> FindRefusal(const QueuedAttempt& waiting,
                                             base::Instant now) const;
  base::Duration RetryAfter(base::ErrorKind error, base::Instant now) const;
  AdmissionAction Refuse(const base::AttemptId& attempt,
                         base::ErrorKind error,
                         base::Instant now);
  AdmissionAction Start(const QueuedAttempt& attempt, base::Instant now);
  AdmissionActions Enqueue(const QueuedAttempt& attempt, base::Instant now);
  void StartQueued(AdmissionActions& actions, base::Instant now);
  // Whether one more may run beside those that run, and may start now.
  bool MayStart(int rank, base::Instant now) const;
  // The same for an attempt that arrives now, after those that wait.
  bool HasCapacityFor(FlowId flow, base::Instant now) const;
  bool HasFreeSlot(base::Instant now) const;
  int Limit(base::Instant now) const;
  int Queued() const { return static_cast<int>(queue_.size()); }
  // What requests of a flow take as a rule. Not the server's mean: short ones
  // would be held for late beside long ones, and refused for it.
  base::Duration ExpectedServiceTime(FlowId flow) const;
  // Whether what waited may start at `start`. What may not be stopped halfway
  // has to be done by its deadline, as its flow goes of late: else its caller
  // would hear "unknown" of what was in vain. What finds room as it arrives is
  // tried in any case, so that a server which is well again is found out.
  bool CanMeetDeadline(const QueuedAttempt& attempt, base::Instant start) const;
  // False until the server has answered as many as it runs at a time. Its first
  // answers are those of short requests, and where all servers have just
  // started what waits by them is refused after hundreds of milliseconds in the
  // queue.
  bool HasServiceTimeEstimate() const;
  // The time in which `requests` get through, the last of that rank.
  base::Duration EstimateWait(double requests,
                              int rank,
                              base::Instant now) const;

  AdmissionOptions options_;
  bool draining_ = false;
  AttemptLedger ledger_;
  FairQueue queue_;
  ConcurrencyLimit limit_;
  ColdStartLimiter cold_limiter_;
  absl::flat_hash_map<base::AttemptId, Running> running_;
  base::Instant last_progress_at_;  // When an attempt last started or ended.
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_ADMISSION_CONTROLLER_H_
