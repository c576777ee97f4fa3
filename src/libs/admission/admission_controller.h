// Admission control for one server: decides which attempts start, are queued or
// are refused. All requests to the server pass through it.
//
// Performs no I/O and reads no clock: the current time is passed in, and the
// caller carries out the returned actions.
#ifndef ADMISSION_ADMISSION_CONTROLLER_H_
#define ADMISSION_ADMISSION_CONTROLLER_H_

#include <optional>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_action.h"
#include "admission/arrival.h"
#include "admission/attempt_ledger.h"
#include "admission/attempt_state.h"
#include "admission/concurrency_limit.h"
#include "admission/fair_queue.h"
#include "admission/rate_limits.h"
#include "admission/server_result.h"
#include "admission/service_times.h"
#include "admission/traffic_shares.h"
#include "base/time.h"
#include "wire/load_report.h"

namespace chestnutport::admission {

struct AdmissionOptions {
  int slots = 12;               // Requests that the server runs concurrently.
  int queue = 24;               // Capacity of the queue.
  base::Duration cold_start{};  // Warm-up time after a server start.
  ColdStartOptions cold;        // Rate limit during the warm-up.
  TrafficShares shares;
  LedgerLimits ledger;  // Read at construction only.
  // If false, the concurrency limit is always `slots`, regardless of service
  // times.
  bool adaptive = true;
};

class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionOptions& options);

  // Queued attempts stay queued.
  void set_options(const AdmissionOptions& options);

  // Admits, queues or refuses an attempt. Each attempt runs at most once: a
  // second arrival with the same id is refused.
  AdmissionActions Arrive(const Arrival& arrival, base::Instant now);
  // Returns the refusal that a new attempt would get now, or nothing if it
  // would be started or queued. Does not record the attempt. Unlike Arrive(),
  // checks neither for an earlier arrival with the same id nor for a full
  // queue.
  std::optional<AdmissionAction> CheckRefusal(const Arrival& arrival,
                                              base::Instant now);
  // Returns whether an attempt with a kStart action may still be sent at `now`,
  // a fresh reading of the clock. If not, call Finish() with kNotSent.
  bool MaySend(const base::AttemptId& attempt, base::Instant now) const;
  // Call when a started attempt has ended. Returns the actions for queued
  // attempts that can start now.
  AdmissionActions Finish(const base::AttemptId& attempt,
                          base::Instant now,
                          ServerResult result = ServerResult::kAnswered);
  // Guarantees that the attempt does not start after this call, even if it
  // arrives later. Returns the state before the call: after kQueued, the
  // attempt does not run. Returns kNeverRuns if it had not arrived, and
  // kUnknown if its record may have been dropped.
  AttemptState Cancel(const base::AttemptId& attempt, base::Instant now);
  // Returns the state of the attempt without changing it.
  AttemptState State(const base::AttemptId& attempt) const;
  // Refuses queued attempts whose deadline has passed, expires old ledger
  // records, and starts attempts that a raised limit allows. Call about every
  // 10 ms.
  AdmissionActions Tick(base::Instant now);

  // Refuses all arrivals from now on; the returned actions refuse everything
  // that is queued.
  AdmissionActions StartDrain(base::Instant now);
  void StopDrain() { draining_ = false; }
  // Call when another server, or a new incarnation of the server, has taken
  // over.
  void OnServerStarted(base::Instant now);
  // Call when a probe was sent: it costs a cold server as much as a request.
  void OnProbed(base::Instant now) { cold_limiter().ConsumeToken(now); }
  // Sets the requests per second that the server states it accepts; nothing if
  // unlimited. Queued attempts that a raised limit allows start with the next
  // Tick().
  void SetStatedRate(std::optional<double> rate, base::Instant now) {
    rate_limits_.stated().SetRate(rate, now);
  }
  // Tracks how long the server reports that it stays cold.
  ColdStartLimiter& cold_limiter() { return rate_limits_.cold(); }
  const ColdStartLimiter& cold_limiter() const { return rate_limits_.cold(); }
  // Whether the server's request rate is limited.
  bool IsRateLimited(base::Instant now) const {
    return rate_limits_.IsLimited(now);
  }

  // Returns whether an attempt of the most urgent rank would start at once.
  bool HasCapacity(base::Instant now) const {
    return queue_.size() == 0 && MayStart(0, now);
  }
  // Returns the urgency rank of a tenant's requests in a class; 0 is the most
  // urgent.
  int RankOf(std::string_view traffic_class, std::string_view tenant) {
    return queue_.RankOf(queue_.FlowFor(traffic_class, tenant));
  }
  wire::LoadReport Load(base::Instant now) const;
  bool IsDraining() const { return draining_; }
  bool IsEmpty() const { return running_.empty() && queue_.size() == 0; }

 private:
  struct Running {
    FlowId flow = 0;
    WorkId work = 0;
    base::Instant started;
    base::Instant deadline;
    bool at_limit = false;  // No other attempt could start beside it.
  };

  // Returns nothing if the attempt may run or be queued.
  std::optional<base::ErrorKind> FindRefusal(const QueuedAttempt& waiting,
                                             base::Instant now) const;
  base::Duration RetryAfter(base::ErrorKind error, base::Instant now) const;
  AdmissionAction Refuse(const base::AttemptId& attempt,
                         base::ErrorKind error,
                         base::Instant now);
  AdmissionAction Start(const QueuedAttempt& attempt, base::Instant now);
  AdmissionActions Enqueue(const QueuedAttempt& attempt, base::Instant now);
  void StartQueued(AdmissionActions& actions, base::Instant now);
  // Returns whether one more attempt of this rank may start now.
  bool MayStart(int rank, base::Instant now) const;
  // Returns whether an attempt of this flow may start now without overtaking
  // queued attempts.
  bool HasCapacityFor(FlowId flow, base::Instant now) const;
  bool HasFreeSlot(base::Instant now) const;
  int Limit(base::Instant now) const;
  int Queued() const { return static_cast<int>(queue_.size()); }
  QueuedAttempt MakeQueued(const Arrival& arrival);
  // Returns the mean service time of this kind of work, or that of all requests
  // if there is no sample. The mean of all is too long for short requests that
  // share the server with long ones: they would be refused as late.
  base::Duration ExpectedServiceTime(WorkId work) const;
  // Returns whether a queued attempt may start at `start`. An attempt that must
  // not be interrupted needs enough time to finish by its deadline, according
  // to the recent service times of its kind; otherwise its work would be wasted
  // and its caller would get an "unknown" outcome. Attempts that find capacity
  // on arrival skip this check, so that the recovery of a slow server is
  // detected.
  bool CanMeetDeadline(const QueuedAttempt& attempt,
                       base::Instant start,
                       base::Instant now) const;
  // Returns the median of how long the running requests of a kind have run so
  // far; zero if there is none. When a server becomes slow, it exceeds the
  // recent service time before there are answers that show it.
  base::Duration MedianElapsed(WorkId work, base::Instant now) const;
  // Returns false until the server has answered as many requests as it has
  // slots. The first answers are those of short requests. When all servers have
  // just started, an estimate from these is too low: attempts would be queued,
  // and refused after hundreds of milliseconds.
  bool HasServiceTimeEstimate() const;
  // Returns the time until `requests` have been served, the last of them of the
  // given rank.
  base::Duration EstimateWait(double requests,
                              int rank,
                              base::Instant now) const;

  AdmissionOptions options_;
  bool draining_ = false;
  AttemptLedger ledger_;
  FairQueue queue_;
  ServiceTimes service_times_;
  ConcurrencyLimit limit_;
  RateLimits rate_limits_;
  absl::flat_hash_map<base::AttemptId, Running> running_;
  base::Instant last_progress_at_;  // When an attempt last started or ended.
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_ADMISSION_CONTROLLER_H_
