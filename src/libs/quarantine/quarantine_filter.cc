#include "quarantine/quarantine_filter.h"

#include <algorithm>
#include <utility>

namespace chestnutport::quarantine {

using base::ErrorKind;
using base::Instant;
using base::RequestFingerprint;

namespace {

// Orders suspects before others, and the shortest run times first among both.
bool IsBefore(const RunningRequest& a, const RunningRequest& b) {
  return std::pair(!a.is_suspect, a.run_time) <
         std::pair(!b.is_suspect, b.run_time);
}

bool Contains(const std::vector<RunningRequest>& running,
              RequestFingerprint fingerprint) {
  return std::ranges::find(running, fingerprint,
                           &RunningRequest::fingerprint) != running.end();
}

}  // namespace

std::vector<RequestFingerprint> QuarantineFilter::SetVerdicts(
    SharedVerdicts verdicts,
    uint64_t life,
    Instant now) {
  verdicts_ = std::move(verdicts);
  std::vector<RequestFingerprint> answered;
  for (const auto& [fingerprint, verdict] : verdicts_->all()) {
    if (answered_.Contains(fingerprint, life, now))
      answered.push_back(fingerprint);
  }
  return answered;
}

std::optional<QuarantineRejection> QuarantineFilter::FindRejection(
    const IncomingRequest& request,
    Instant now) const {
  const VerdictUntil verdict = verdicts_->Of(request.fingerprint);
  if (verdict.verdict == Verdict::kQuarantined) {
    return QuarantineRejection{
        ErrorKind::kRequestQuarantined,
        std::max<base::Duration>(verdict.until - now, {})};
  }
  if (IsSuspect(request) && RunsSuspect()) {
    return QuarantineRejection{
        ErrorKind::kRequestSuspected,
        base::AnswerTo(ErrorKind::kRequestSuspected).retry_after};
  }
  return std::nullopt;
}

void QuarantineFilter::OnStarted(const base::AttemptId& attempt,
                                 const IncomingRequest& request) {
  running_[attempt] = request;
}

bool QuarantineFilter::IsSuspect(const IncomingRequest& request) const {
  return request.is_suspect || !verdicts_->IsFree(request.fingerprint);
}

bool QuarantineFilter::RunsSuspect() const {
  return std::ranges::any_of(
      running_, [this](const auto& item) { return IsSuspect(item.second); });
}

bool QuarantineFilter::OnEnded(const base::AttemptId& attempt,
                               RequestFingerprint fingerprint,
                               std::optional<uint64_t> life,
                               Instant now) {
  running_.erase(attempt);
  if (!life || fingerprint.value == 0)
    return false;
  answered_.Add(fingerprint, *life, now);
  return !verdicts_->IsFree(fingerprint);
}

ServerCrash QuarantineFilter::AttributeCrash(
    const CrashId& crash,
    std::span<const RunningRequest> running,
    Instant now) const {
  std::vector<RunningRequest> sorted(running.begin(), running.end());
  for (RunningRequest& request : sorted)
    request.is_suspect = IsSuspect({request.fingerprint, request.is_suspect});
  std::ranges::sort(sorted, IsBefore);
  ServerCrash attributed{crash, {}};
  for (const RunningRequest& request : sorted) {
    const bool may_be_cause =
        request.fingerprint.value != 0 &&
        !answered_.Contains(request.fingerprint, crash.life, now);
    // Concurrent runs of the same request count once.
    const bool is_new = !Contains(attributed.running, request.fingerprint);
    if (may_be_cause && is_new &&
        attributed.running.size() < kMaxAttributedRequests)
      attributed.running.push_back(request);
  }
  return attributed;
}

}  // namespace chestnutport::quarantine
