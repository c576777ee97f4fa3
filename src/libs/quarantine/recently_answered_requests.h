// Which requests a server answered lately: those do not end it.
#ifndef QUARANTINE_RECENTLY_ANSWERED_REQUESTS_H_
#define QUARANTINE_RECENTLY_ANSWERED_REQUESTS_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "base/request_fingerprint.h"
#include "base/time.h"

namespace chestnutport::quarantine {

// Guards what many callers ask for all the time: it runs at every end.
class RecentlyAnsweredRequests {
 public:
  // An answer counts for this time to twice as long.
  static constexpr std::chrono::seconds kWindow{10};
  // Kept of each window; about 100 kB in all.
  static constexpr size_t kMaxPerWindow = 2048;

  // `life`: of the server that answered.
  void Add(base::RequestFingerprint fingerprint,
           uint64_t life,
           base::Instant now);
  // Whether this life of the server answered it. Another life may be another
  // version of the server, which the request ends.
  bool Contains(base::RequestFingerprint fingerprint,
                uint64_t life,
                base::Instant now) const;

 private:
  using Lives = absl::flat_hash_map<base::RequestFingerprint, uint64_t>;

  void Rotate(base::Instant now);

  Lives present_;
  Lives previous_;
  base::Instant window_start_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_RECENTLY_ANSWERED_REQUESTS_H_
