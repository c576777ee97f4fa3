#include "quarantine/verdict.h"

namespace chestnutport::quarantine {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kFree:
      return "free";
    case Verdict::kSuspected:
      return "suspected";
    case Verdict::kQuarantined:
      return "quarantined";
  }
  return "free";
}

VerdictUntil Verdicts::Of(base::RequestFingerprint fingerprint) const {
  const auto found = verdicts_.find(fingerprint);
  return found == verdicts_.end() ? VerdictUntil() : found->second;
}

}  // namespace chestnutport::quarantine
