// Decides how a request is treated that was running when servers crashed.
#ifndef QUARANTINE_VERDICT_H_
#define QUARANTINE_VERDICT_H_

#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "base/request_fingerprint.h"
#include "base/time.h"

namespace chestnutport::quarantine {

enum class Verdict {
  kFree,  // Runs without restrictions.
  // Two servers crashed while running it. It may be innocent, so it still runs,
  // but on one server at a time and beside no other suspect, which shows which
  // of the suspects causes the crashes.
  kSuspected,
  kQuarantined,  // Is rejected.
};

std::string_view ToString(Verdict verdict);

struct VerdictUntil {
  Verdict verdict = Verdict::kFree;
  // For kQuarantined, when the request is tried again; for kSuspected, when the
  // suspicion expires unless another server crashes with it.
  base::Instant until;

  bool operator==(const VerdictUntil&) const = default;
};

// The verdicts on all requests that are not free. Immutable once shared between
// threads.
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
