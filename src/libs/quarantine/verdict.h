// What is to be done with a request that servers ran when they ended.
#ifndef QUARANTINE_VERDICT_H_
#define QUARANTINE_VERDICT_H_

#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "base/request_fingerprint.h"
#include "base/time.h"

namespace chestnutport::quarantine {

enum class Verdict {
  kFree,  // Runs like any other.
  // Two servers ended with it. It goes on, as it may be innocent, but to one
  // server at a time, beside no other suspect: that shows which of them it is.
  kSuspected,
  kQuarantined,  // Is not run.
};

std::string_view ToString(Verdict verdict);

struct VerdictUntil {
  Verdict verdict = Verdict::kFree;
  // Of kQuarantined: when it is tried again; of kSuspected: when it is
  // forgotten, if no server ends with it.
  base::Instant until;

  bool operator==(const VerdictUntil&) const = default;
};

// All that are not free. Immutable where it is shared between threads.
class Verdicts {
 public:
  using Map = absl::flat_hash_map<base::RequestFingerprint, VerdictUntil>;

  void Set(base::RequestFingerprint fingerprint, const VerdictUntil& verdict) {
    verdicts_[fingerprint] = verdict;
  }

  VerdictUntil Of(base::RequestFingerprint fingerprint) const;
  bool IsFree(base::RequestFingerprint fingerprint) const {
    return Of(fingerprint).verdict == Verdict::kFree;
  }
  bool empty() const { return verdicts_.empty(); }
  const Map& all() const { return verdicts_; }

 private:
  Map verdicts_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_VERDICT_H_
