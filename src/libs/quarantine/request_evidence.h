// The crashes observed while a given request was running.
#ifndef QUARANTINE_REQUEST_EVIDENCE_H_
#define QUARANTINE_REQUEST_EVIDENCE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/request_fingerprint.h"
#include "quarantine/crash_id.h"
#include "quarantine/crash_observation.h"
#include "quarantine/refuted_crash.h"

namespace chestnutport::quarantine {

struct RequestEvidence {
  base::RequestFingerprint fingerprint;
  std::vector<CrashObservation> crashes;
  // Crashes that no longer count, because a server has answered the request
  // since or an operator released it. They override observations of the same
  // crashes, whichever is received first.
  std::vector<RefutedCrash> refuted;
};

// Returns a digest of the requests and the identities of their crashes,
// independent of their order and times. Refuted crashes are not included.
uint64_t EvidenceDigest(std::span<const RequestEvidence> all);
uint64_t CrashDigest(base::RequestFingerprint fingerprint,
                     const CrashId& crash);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_REQUEST_EVIDENCE_H_
