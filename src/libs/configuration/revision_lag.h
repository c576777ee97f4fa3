// Measures for how long this node has known of a newer revision than the one it
// has in force.
#ifndef CONFIGURATION_REVISION_LAG_H_
#define CONFIGURATION_REVISION_LAG_H_

#include <cstdint>

#include "base/time.h"

namespace chestnutport::configuration {

class RevisionLag {
 public:
  // Called when the store or another node was found to hold `revision`.
  void OnRevisionReported(uint64_t revision, base::Instant now);
  // Called when `revision` comes into force. Returns the lag that it ends: how
  // long a newer revision than the one in force before was known.
  base::Duration OnInForce(uint64_t revision, base::Instant now);

  // Whether a newer revision than the one in force is known.
  bool IsBehind() const { return greatest_reported_ > in_force_; }
  // Returns the current lag; zero if no newer revision is known.
  base::Duration Behind(base::Instant now) const;

 private:
  uint64_t in_force_ = 0;
  uint64_t greatest_reported_ = 0;
  base::Instant greatest_reported_at_;
  base::Instant behind_since_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_REVISION_LAG_H_
