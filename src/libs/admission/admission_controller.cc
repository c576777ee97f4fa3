#include "admission/admission_controller.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "absl/container/inlined_vector.h"
#include "absl/strings/str_cat.h"

namespace chestnutport::admission {

using base::AttemptId;
using base::Duration;
using base::ErrorKind;
using base::Instant;

namespace {

// A Retry-After of zero would mean that a retry is pointless.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);
// An attempt is refused on arrival if less than this multiple of its mean
// service time would remain between its start and its target. A third of the
// requests take longer than the mean, and a VM may slow down during one. At a
// cold server the wait is set by the rate limit and well known, and no other
// server is better: a factor of 1 is enough there.
constexpr int kTargetHeadroomFactor = 2;
// An attempt starts only if the time left until its deadline is at least the
// recent service time plus this fraction (1/N) of it: one request in five takes
// longer than that.
constexpr int kServiceTimeMarginDivisor = 4;

}  // namespace

AdmissionController::AdmissionController(const AdmissionOptions& options)
    : options_(options),
      ledger_(options.ledger),
      queue_(options.shares),
      limit_(options.slots),
      rate_limits_(options.cold) {
  limit_.set_warm_up_time(options.cold_start);
}

void AdmissionController::set_options(const AdmissionOptions& options) {
  limit_.SetSlots(options.slots);
  limit_.set_warm_up_time(options.cold_start);
  rate_limits_.cold().set_options(options.cold);
  if (options.shares != options_.shares)
    queue_.SetShares(options.shares);
  options_ = options;
}

AdmissionActions AdmissionController::Arrive(const Arrival& arrival,
                                             Instant now) {
  const AttemptId& attempt = arrival.attempt;
  const AttemptState known = ledger_.Find(attempt);
  if (known == AttemptState::kNeverRuns)
    return {{ActionKind::kRefuse, attempt, ErrorKind::kCancelled, {}}};
  if (known != AttemptState::kUnknown || !ledger_.IsNew(attempt, now))
    return {{ActionKind::kRefuse, attempt, ErrorKind::kDuplicateAttempt, {}}};
  if (arrival.is_server_leaving)
    return {Refuse(attempt, ErrorKind::kDraining, now)};
  const QueuedAttempt waiting = MakeQueued(arrival);
  if (const auto refusal = FindRefusal(waiting, now))
    return {Refuse(attempt, *refusal, now)};
  if (HasCapacityFor(waiting.flow, now))
    return {Start(waiting, now)};
  return Enqueue(waiting, now);
}

QueuedAttempt AdmissionController::MakeQueued(const Arrival& arrival) {
  const std::string kind =
      arrival.work_kind.empty()
          ? absl::StrCat(arrival.traffic_class, "/", arrival.tenant)
          : arrival.work_kind;
  return {.attempt = arrival.attempt,
          .flow = queue_.FlowFor(arrival.traffic_class, arrival.tenant),
          .deadline = arrival.deadline,
          .target = arrival.target,
          .may_stop = arrival.may_stop,
          .work = service_times_.IdFor(kind)};
}

std::optional<AdmissionAction> AdmissionController::CheckRefusal(
    const Arrival& arrival,
    Instant now) {
  const QueuedAttempt waiting = MakeQueued(arrival);
  const auto refusal = arrival.is_server_leaving ? ErrorKind::kDraining
                                                 : FindRefusal(waiting, now);
  if (!refusal)
    return std::nullopt;
  return AdmissionAction{ActionKind::kRefuse, arrival.attempt, *refusal,
                         RetryAfter(*refusal, now)};
}

std::optional<ErrorKind> AdmissionController::FindRefusal(
    const QueuedAttempt& waiting,
    Instant now) const {
  if (draining_)
    return ErrorKind::kDraining;
  if (waiting.deadline <= now)
    return ErrorKind::kDeadlineTooClose;
  if (HasCapacityFor(waiting.flow, now))
    return std::nullopt;
  const bool is_limited = rate_limits_.IsLimited(now);
  if (waiting.target && !HasServiceTimeEstimate() && !is_limited)
    return ErrorKind::kOverloaded;
  const Duration wait = EstimateWait(queue_.RequestsAhead(waiting.flow) + 1,
                                     queue_.RankOf(waiting.flow), now);
  if (!CanMeetDeadline(waiting, now + wait, now))
    return ErrorKind::kDeadlineTooClose;
  // An attempt that would be served late delays others. It is refused at once,
  // and the caller may retry when there is capacity.
  const int headroom_factor = is_limited ? 1 : kTargetHeadroomFactor;
  if (waiting.target &&
      now + wait + headroom_factor * ExpectedServiceTime(waiting.work) >
          *waiting.target)
    return ErrorKind::kOverloaded;
  return std::nullopt;
}

bool AdmissionController::MaySend(const AttemptId& attempt, Instant now) const {
  const auto found = running_.find(attempt);
  return found != running_.end() && now < found->second.deadline;
}

AdmissionActions AdmissionController::Finish(const AttemptId& attempt,
                                             Instant now,
                                             ServerResult result) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return {};
  const Running ended = found->second;
  const int in_flight = static_cast<int>(running_.size());
  running_.erase(found);
  last_progress_at_ = now;
  const bool ran =
      result == ServerResult::kAnswered || result == ServerResult::kUncertain;
  ledger_.Set(attempt, ran ? AttemptState::kFinished : AttemptState::kNeverRuns,
              now);
  if (result == ServerResult::kAnswered) {
    queue_.OnServed(ended.flow, now - ended.started);
    service_times_.OnServed(ended.work, now - ended.started);
    limit_.OnServed(ended.started, now - ended.started, ended.at_limit, now);
  } else if (result == ServerResult::kUncertain) {
    // When a server becomes slow, callers stop most requests before they are
    // answered, so there are few answers that show it.
    service_times_.OnInterrupted(ended.work, now - ended.started);
  } else if (result == ServerResult::kShed) {
    limit_.OnShed(in_flight, now);
  }
  AdmissionActions actions;
  StartQueued(actions, now);
  return actions;
}

AttemptState AdmissionController::Cancel(const AttemptId& attempt,
                                         Instant now) {
  const AttemptState before = ledger_.Find(attempt);
  if (before == AttemptState::kUnknown) {
    if (!ledger_.IsNew(attempt, now))
      return AttemptState::kUnknown;
    ledger_.Set(attempt, AttemptState::kNeverRuns, now);
    return AttemptState::kNeverRuns;
  }
  if (before == AttemptState::kQueued && queue_.Remove(attempt))
    ledger_.Set(attempt, AttemptState::kNeverRuns, now);
  return before;
}

AttemptState AdmissionController::State(const AttemptId& attempt) const {
  return ledger_.Find(attempt);
}

AdmissionActions AdmissionController::Tick(Instant now) {
  AdmissionActions actions;
  while (const auto expired = queue_.PopExpired(now)) {
    actions.push_back(
        Refuse(expired->attempt, ErrorKind::kDeadlineTooClose, now));
  }
  StartQueued(actions, now);
  ledger_.Expire(now);
  return actions;
}

AdmissionActions AdmissionController::StartDrain(Instant now) {
  draining_ = true;
  AdmissionActions actions;
  while (const auto waiting = queue_.Pop())
    actions.push_back(Refuse(waiting->attempt, ErrorKind::kDraining, now));
  return actions;
}

void AdmissionController::OnServerStarted(Instant now) {
  limit_.StartWarmUp(now);
  rate_limits_.cold().OnServerStarted(now);
  rate_limits_.stated().SetRate(std::nullopt, now);
}

wire::LoadReport AdmissionController::Load(Instant now) const {
  const auto queued = static_cast<int>(queue_.size());
  wire::LoadReport report{
      static_cast<int>(running_.size()), Limit(now), queued, {}};
  if (queued > 0 || !MayStart(0, now))
    report.expected_wait = EstimateWait(queued + 1, 0, now);
  return report;
}

AdmissionAction AdmissionController::Refuse(const AttemptId& attempt,
                                            ErrorKind error,
                                            Instant now) {
  ledger_.Set(attempt, AttemptState::kNeverRuns, now);
  return {ActionKind::kRefuse, attempt, error, RetryAfter(error, now)};
}

Duration AdmissionController::RetryAfter(ErrorKind error, Instant now) const {
  const bool is_full =
      error == ErrorKind::kOverloaded || error == ErrorKind::kDeadlineTooClose;
  if (is_full && (HasServiceTimeEstimate() || rate_limits_.IsLimited(now)))
    return std::max(EstimateWait(Queued() + 1, 0, now), kMinRetryAfter);
  return base::AnswerTo(error).retry_after;
}

AdmissionAction AdmissionController::Start(const QueuedAttempt& attempt,
                                           Instant now) {
  ledger_.Set(attempt.attempt, AttemptState::kRunning, now);
  last_progress_at_ = now;
  Running& running = running_[attempt.attempt];
  running = {attempt.flow, attempt.work, now, attempt.deadline, false};
  running.at_limit = !HasFreeSlot(now);
  rate_limits_.ConsumeTokens(now);
  return {ActionKind::kStart, attempt.attempt, ErrorKind::kInternal, {}};
}

AdmissionActions AdmissionController::Enqueue(const QueuedAttempt& attempt,
                                              Instant now) {
  ledger_.Set(attempt.attempt, AttemptState::kQueued, now);
  queue_.Push(attempt);
  if (queue_.size() <= static_cast<size_t>(options_.queue))
    return {};
  const auto most_over_share = queue_.PopMostOverShare();
  return {Refuse(most_over_share->attempt, ErrorKind::kOverloaded, now)};
}

void AdmissionController::StartQueued(AdmissionActions& actions, Instant now) {
  while (queue_.size() > 0 && HasFreeSlot(now)) {
    const auto next = queue_.Pop(rate_limits_.LeastUrgentRankAllowed(now));
    if (!next)
      return;
    // It would miss its target, and others that are queued may still meet
    // theirs.
    const bool is_late = next->target && queue_.size() > 0 &&
                         now + ExpectedServiceTime(next->work) > *next->target;
    if (!CanMeetDeadline(*next, now, now) || is_late) {
      actions.push_back(
          Refuse(next->attempt, ErrorKind::kDeadlineTooClose, now));
    } else {
      actions.push_back(Start(*next, now));
    }
  }
}

bool AdmissionController::MayStart(int rank, Instant now) const {
  return HasFreeSlot(now) && rate_limits_.MayStart(rank, now);
}

bool AdmissionController::HasCapacityFor(FlowId flow, Instant now) const {
  const int rank = queue_.RankOf(flow);
  const bool is_next = rate_limits_.IsLimited(now) ? !queue_.HasQueuedUpTo(rank)
                                                   : queue_.size() == 0;
  return is_next && MayStart(rank, now);
}

bool AdmissionController::HasFreeSlot(Instant now) const {
  return static_cast<int>(running_.size()) < Limit(now);
}

int AdmissionController::Limit(Instant now) const {
  return options_.adaptive ? limit_.Limit(now) : options_.slots;
}

Duration AdmissionController::ExpectedServiceTime(WorkId work) const {
  return service_times_.Mean(work).value_or(limit_.service_time());
}

bool AdmissionController::CanMeetDeadline(const QueuedAttempt& attempt,
                                          Instant start,
                                          Instant now) const {
  if (start >= attempt.deadline || attempt.may_stop)
    return start < attempt.deadline;
  const Duration recent =
      service_times_.Recent(attempt.work).value_or(limit_.service_time());
  const Duration work = std::max(recent, MedianElapsed(attempt.work, now));
  return start + work + work / kServiceTimeMarginDivisor <= attempt.deadline;
}

Duration AdmissionController::MedianElapsed(WorkId work, Instant now) const {
  absl::InlinedVector<Duration, 32> elapsed;
  for (const auto& [id, request] : running_) {
    if (request.work == work)
      elapsed.push_back(now - request.started);
  }
  if (elapsed.empty())
    return {};
  const auto middle =
      elapsed.begin() + static_cast<std::ptrdiff_t>(elapsed.size() / 2);
  std::nth_element(elapsed.begin(), middle, elapsed.end());
  return *middle;
}

bool AdmissionController::HasServiceTimeEstimate() const {
  return limit_.served() >= options_.slots;
}

Duration AdmissionController::EstimateWait(double requests,
                                           int rank,
                                           Instant now) const {
  const auto each = std::chrono::duration<double>(limit_.service_time());
  const auto expected =
      std::chrono::duration_cast<Duration>(each * requests / Limit(now));
  // If the server has made no progress for some time, it may take as long
  // again.
  const Duration stuck =
      HasFreeSlot(now) ? Duration() : Duration(now - last_progress_at_);
  return std::max(
      {expected, stuck, rate_limits_.TimeUntilAllowed(requests, rank, now)});
}

}  // namespace chestnutport::admission
