#include "quarantine/gate_guard.h"

#include <algorithm>
#include <utility>

namespace chestnutport::quarantine {

using base::ErrorKind;
using base::Instant;
using base::RequestFingerprint;

std::optional<GuardRefusal> GateGuard::Judge(RequestFingerprint fingerprint,
                                             Instant now) const {
  const VerdictUntil verdict = verdicts_->Of(fingerprint);
  switch (verdict.verdict) {
    case Verdict::kFree:
      return std::nullopt;
    case Verdict::kSuspected:
      if (!RunsSuspect())
        return std::nullopt;
      return GuardRefusal{
          ErrorKind::kRequestSuspected,
          base::AnswerTo(ErrorKind::kRequestSuspected).retry_after};
    case Verdict::kQuarantined:
      return GuardRefusal{
          ErrorKind::kRequestQuarantined,
          std::max<base::Duration>(verdict.until - now, {})};
  }
  return std::nullopt;
}

void GateGuard::OnStarted(const base::AttemptId& attempt,
                          RequestFingerprint fingerprint) {
  running_[attempt] = fingerprint;
}

bool GateGuard::RunsSuspect() const {
  return std::ranges::any_of(running_, [this](const auto& item) {
    return !verdicts_->IsFree(item.second);
  });
}

bool GateGuard::OnEnded(const base::AttemptId& attempt,
                        RequestFingerprint fingerprint,
                        std::optional<uint64_t> life,
                        Instant now) {
  running_.erase(attempt);
  if (!life || fingerprint.value == 0)
    return false;
  answered_.Note(fingerprint, *life, now);
  return !verdicts_->IsFree(fingerprint);
}

std::vector<RunningRequest> GateGuard::Blame(
    std::span<const RunningRequest> running,
    uint64_t life,
    Instant now) const {
  std::vector<RunningRequest> suspects;
  std::vector<RunningRequest> others;
  for (const RunningRequest& request : running) {
    const bool is_known = request.fingerprint.value != 0 &&
                          !answered_.Has(request.fingerprint, life, now);
    if (!is_known)
      continue;
    const bool is_free = verdicts_->IsFree(request.fingerprint);
    (is_free ? others : suspects).push_back(request);
  }
  std::vector<RunningRequest>& blamed = suspects.empty() ? others : suspects;
  std::ranges::sort(blamed, {}, &RunningRequest::ran);
  // Two runs of one request are one.
  std::vector<RunningRequest> distinct;
  for (const RunningRequest& request : blamed) {
    const bool is_new = std::ranges::find(distinct, request.fingerprint,
                                          &RunningRequest::fingerprint) ==
                        distinct.end();
    if (is_new && distinct.size() < kMostBlamed)
      distinct.push_back(request);
  }
  return distinct;
}

}  // namespace chestnutport::quarantine
