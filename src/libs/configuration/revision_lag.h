// Since when this node knows of a newer revision than the one in force here.
#ifndef CONFIGURATION_REVISION_LAG_H_
#define CONFIGURATION_REVISION_LAG_H_

#include <cstdint>

#include "base/time.h"

namespace chestnutport::configuration {

class RevisionLag {
 public:
  // The store or another node holds `revision`.
  void OnRevisionReported(uint64_t revision, base::Instant now);
  // Returns for how long a newer revision than the one before was known.
  base::Duration OnInForce(uint64_t revision, base::Instant now);

  // Zero: nothing newer is known.
  base::Duration Behind(base::Instant now) const;

 private:
  bool IsBehind() const { return greatest_reported_ > in_force_; }

  uint64_t in_force_ = 0;
  uint64_t greatest_reported_ = 0;
  base::Instant greatest_reported_at_;
  base::Instant behind_since_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_REVISION_LAG_H_
