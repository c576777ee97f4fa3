// What is known of a request that servers ran when they ended.
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
  // Ends that do not count: a server answered the request since, or an operator
  // lifted the verdict. They outweigh marks, in whatever order both are heard.
  std::vector<RefutedCrash> refuted;
};

// Equal for evidence with the same marks, in any order and of any age.
uint64_t EvidenceDigest(std::span<const RequestEvidence> all);
uint64_t CrashDigest(base::RequestFingerprint fingerprint,
                     const CrashId& crash);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_REQUEST_EVIDENCE_H_
