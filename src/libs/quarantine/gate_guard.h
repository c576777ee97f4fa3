// Decides at a gate, by the verdicts that its node holds, which requests its
// server may run, and which are to answer for an end of it. Pure.
#ifndef QUARANTINE_GATE_GUARD_H_
#define QUARANTINE_GATE_GUARD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/attempt_id.h"
#include "base/error_kind.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "quarantine/answered_requests.h"
#include "quarantine/server_crash.h"
#include "quarantine/verdict.h"

namespace chestnutport::quarantine {

using SharedVerdicts = std::shared_ptr<const Verdicts>;

// Why a request is not run, and when its caller may come back.
struct GuardRefusal {
  base::ErrorKind error = base::ErrorKind::kRequestQuarantined;
  base::Duration retry_after{};
};

class GateGuard {
 public:
  // Of the requests that ran at an end, the youngest so many answer for it; with
  // the suspects among them, whatever their age.
  static constexpr size_t kMostBlamed = 64;

  void SetVerdicts(SharedVerdicts verdicts) { verdicts_ = std::move(verdicts); }

  // Nothing if the server may run the request now.
  std::optional<GuardRefusal> Judge(base::RequestFingerprint fingerprint,
                                    base::Instant now) const;
  // The server got the request.
  void OnStarted(const base::AttemptId& attempt,
                 base::RequestFingerprint fingerprint);
  // It runs there no more. `life` of the server answered it; nothing: it was
  // not answered. Returns whether the answer speaks for a request that is not
  // free.
  bool OnEnded(const base::AttemptId& attempt,
               base::RequestFingerprint fingerprint,
               std::optional<uint64_t> life,
               base::Instant now);

  // Which of those that ran are to answer for the end of `life`: suspects, if
  // there are any; else all that this life did not answer before.
  std::vector<RunningRequest> Blame(std::span<const RunningRequest> running,
                                    uint64_t life,
                                    base::Instant now) const;

 private:
  bool RunsSuspect() const;

  SharedVerdicts verdicts_ = std::make_shared<const Verdicts>();
  AnsweredRequests answered_;
  // What the server runs; some may have become suspects since they started.
  absl::flat_hash_map<base::AttemptId, base::RequestFingerprint> running_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_GATE_GUARD_H_
