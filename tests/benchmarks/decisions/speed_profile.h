// The speed of a server over time, relative to its normal speed.
#ifndef DECISIONS_SPEED_PROFILE_H_
#define DECISIONS_SPEED_PROFILE_H_

#include <vector>

#include "base/time.h"

namespace chestnutport::bench {

class SpeedProfile {
 public:
  // Sets the speed from `from` on. Must be called in order of time.
  void Set(base::Instant from, double speed) {
    steps_.push_back({from, speed});
  }

  double SpeedAt(base::Instant when) const;
  // Returns when `work` that begins at `start` is done.
  base::Instant EndOf(base::Instant start, base::Duration work) const;

 private:
  struct Step {
    base::Instant from;
    double speed;
  };

  std::vector<Step> steps_;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_SPEED_PROFILE_H_
