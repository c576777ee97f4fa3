// Remembers which requests a server answered recently. A request that a server
// process has answered is not held responsible when that process crashes.
#ifndef QUARANTINE_RECENTLY_ANSWERED_REQUESTS_H_
#define QUARANTINE_RECENTLY_ANSWERED_REQUESTS_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "base/request_fingerprint.h"
#include "base/time.h"

namespace chestnutport::quarantine {

// Protects popular requests from false suspicion: a request that many callers
// send all the time is running at nearly every crash.
class RecentlyAnsweredRequests {
 public:
  // An answer is remembered for at least this time and at most twice as long;
  // for less if a window fills up.
  static constexpr std::chrono::seconds kWindow{10};
  // Entries in each of the two windows; about 100 kB in all.
  static constexpr size_t kMaxPerWindow = 2048;

  // Records that the server answered the request in its incarnation `life`.
  void Add(base::RequestFingerprint fingerprint,
           uint64_t life,
           base::Instant now);
  // Returns whether the server recently answered the request in its incarnation
  // `life`. Other incarnations do not count: after a restart the server may run
  // another version, which the request may crash.
  bool Contains(base::RequestFingerprint fingerprint,
                uint64_t life,
                base::Instant now) const;

 private:
  using LifeByRequest = absl::flat_hash_map<base::RequestFingerprint, uint64_t>;

  void Rotate(base::Instant now);

  LifeByRequest current_;
  LifeByRequest previous_;
  base::Instant window_start_;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_RECENTLY_ANSWERED_REQUESTS_H_
