// What is known of a request that servers ran when they ended.
#ifndef QUARANTINE_REQUEST_EVIDENCE_H_
#define QUARANTINE_REQUEST_EVIDENCE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/request_fingerprint.h"
#include "quarantine/crash_id.h"
#include "quarantine/crash_mark.h"
#include "quarantine/refuted_end.h"

namespace chestnutport::quarantine {

struct RequestEvidence {
  base::RequestFingerprint fingerprint;
  std::vector<CrashMark> marks;
  // Ends that do not count: a server answered the request since, or an operator
  // lifted the verdict. They outweigh marks, in whatever order both are heard.
  std::vector<RefutedEnd> refuted;
};

// Equal for evidence with the same marks, in any order and of any age.
uint64_t MarksDigest(std::span<const RequestEvidence> all);
uint64_t MarkDigest(base::RequestFingerprint fingerprint, const CrashId& crash);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_REQUEST_EVIDENCE_H_
