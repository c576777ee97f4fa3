// Whether this node hears from other nodes. Pure: times are passed in.
#ifndef CONFIGURATION_ISOLATION_DETECTOR_H_
#define CONFIGURATION_ISOLATION_DETECTOR_H_

#include <optional>

#include "base/time.h"

namespace chestnutport::configuration {

// A node that is cut off from all others still has to hold what operators
// confirm, and members are held for alive for seconds after they fell silent.
// So it reads the store itself as soon as nothing is heard any more.
class IsolationDetector {
 public:
  // Two probes of its own in a row are not answered in this time, and no other
  // node has sent one.
  static constexpr base::Duration kIsolationTimeout =
      std::chrono::milliseconds(500);
  // Between two checks. It takes two that find silence: a process that was
  // stopped finds it at once as it goes on, and hears from others soon.
  static constexpr base::Duration kCheckInterval =
      std::chrono::milliseconds(250);

  // Notes a check at `now`. `heard_at`: when another node was last heard of;
  // nothing: never.
  void Check(std::optional<base::Instant> heard_at, base::Instant now);

  // By the last two checks.
  bool is_isolated() const { return failed_checks_ > 1; }

 private:
  int failed_checks_ = 0;  // In a row.
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_ISOLATION_DETECTOR_H_
