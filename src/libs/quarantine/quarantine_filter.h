// Decides at a gate, by the verdicts that its node holds, which requests its
// server may run, and which are to answer for an end of it. Pure.
#ifndef QUARANTINE_QUARANTINE_FILTER_H_
#define QUARANTINE_QUARANTINE_FILTER_H_

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
#include "quarantine/recently_answered_requests.h"
#include "quarantine/server_crash.h"
#include "quarantine/verdict.h"

namespace chestnutport::quarantine {

using SharedVerdicts = std::shared_ptr<const Verdicts>;

// Why a request is not run, and when its caller may come back.
struct QuarantineRejection {
  base::ErrorKind error = base::ErrorKind::kRequestQuarantined;
  base::Duration retry_after{};
};

// A request as it comes to a gate.
struct IncomingRequest {
  base::RequestFingerprint fingerprint;
  // Servers ended with it twice, by the word of the node that sent it: that
  // node may know before the verdict has come here.
  bool is_suspect = false;
};

class QuarantineFilter {
 public:
  // Of the requests that ran at an end, the youngest so many answer for it;
  // with the suspects among them, whatever their age.
  static constexpr size_t kMaxAttributedRequests = 64;

  // Returns those of them that `life`, the present one of the server, answered
  // lately: that speaks for them.
  std::vector<base::RequestFingerprint> SetVerdicts(SharedVerdicts verdicts,
                                                    uint64_t life,
                                                    base::Instant now);

  // Nothing if the server may run the request now.
  std::optional<QuarantineRejection> Judge(const IncomingRequest& request,
                                           base::Instant now) const;
  // The server got the request.
  void OnStarted(const base::AttemptId& attempt,
                 const IncomingRequest& request);
  // It runs there no more. `life` of the server answered it; nothing: it was
  // not answered. Returns whether the answer speaks for a request that is not
  // free.
  bool OnEnded(const base::AttemptId& attempt,
               base::RequestFingerprint fingerprint,
               std::optional<uint64_t> life,
               base::Instant now);

  // Who is to answer for the end of a server: all that this life of it did not
  // answer before.
  ServerCrash AttributeCrash(const CrashId& crash,
                             std::span<const RunningRequest> running,
                             base::Instant now) const;

 private:
  bool IsSuspect(const IncomingRequest& request) const;
  bool RunsSuspect() const;

  SharedVerdicts verdicts_ = std::make_shared<const Verdicts>();
  RecentlyAnsweredRequests answered_;
  // What the server runs; some may have become suspects since they started.
  absl::flat_hash_map<base::AttemptId, IncomingRequest> running_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_QUARANTINE_FILTER_H_
