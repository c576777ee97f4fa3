// What is known of a request that servers ran when they ended.
#ifndef QUARANTINE_REQUEST_EVIDENCE_H_
#define QUARANTINE_REQUEST_EVIDENCE_H_

#include <vector>

#include "base/request_fingerprint.h"
#include "quarantine/crash_id.h"
#include "quarantine/crash_mark.h"

namespace chestnutport::quarantine {

struct RequestEvidence {
  base::RequestFingerprint fingerprint;
  std::vector<CrashMark> marks;
  // Ends that do not count: a server answered the request since, or an operator
  // lifted the verdict. They outweigh marks, in whatever order both are heard.
  std::vector<CrashId> refuted;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_REQUEST_EVIDENCE_H_
