// Decides from the verdicts of the node which requests its server may run, and
// which of the running requests may have caused a crash. Does no I/O; times are
// passed in.
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

// Why a request is rejected, and after which time its caller may retry.
struct QuarantineRejection {
  base::ErrorKind error = base::ErrorKind::kRequestQuarantined;
  base::Duration retry_after{};
};

// A request about to be sent to the server.
struct IncomingRequest {
  base::RequestFingerprint fingerprint;
  // Whether the sending node has recorded two crashes with the request. Its
  // evidence may be newer than the verdicts of this node.
  bool is_suspect = false;
};

class QuarantineFilter {
 public:
  // Limit on the requests held responsible for one crash: suspects first,
  // whatever their run time, then the most recently started.
  static constexpr size_t kMaxAttributedRequests = 64;

  // Replaces the verdicts. Returns the requests with a verdict that the server
  // recently answered in `life`, its current incarnation: the answers are
  // evidence in their favour.
  std::vector<base::RequestFingerprint> SetVerdicts(SharedVerdicts verdicts,
                                                    uint64_t life,
                                                    base::Instant now);

  // Returns nothing if the server may run the request now.
  std::optional<QuarantineRejection> FindRejection(
      const IncomingRequest& request,
      base::Instant now) const;
  // Called when the request has been sent to the server.
  void OnStarted(const base::AttemptId& attempt,
                 const IncomingRequest& request);
  // Called when the attempt is over. `life` is the incarnation of the server
  // that answered it, or nothing if it was not answered. Returns whether the
  // answer is evidence in favour of a request that is not free.
  bool OnEnded(const base::AttemptId& attempt,
               base::RequestFingerprint fingerprint,
               std::optional<uint64_t> life,
               base::Instant now);

  // Returns the requests that may have caused the crash: those of `running`
  // that the server had not recently answered in the same incarnation.
  ServerCrash AttributeCrash(const CrashId& crash,
                             std::span<const RunningRequest> running,
                             base::Instant now) const;

 private:
  bool IsSuspect(const IncomingRequest& request) const;
  bool RunsSuspect() const;

  SharedVerdicts verdicts_ = std::make_shared<const Verdicts>();
  RecentlyAnsweredRequests answered_;
  // Attempts running on the server. A request may become a suspect after it has
  // started.
  absl::flat_hash_map<base::AttemptId, IncomingRequest> running_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_QUARANTINE_FILTER_H_
