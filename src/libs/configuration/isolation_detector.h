// Detects that this node has lost contact with all other nodes. Has no clock:
// times are passed in.
#ifndef CONFIGURATION_ISOLATION_DETECTOR_H_
#define CONFIGURATION_ISOLATION_DETECTOR_H_

#include <optional>

#include "base/time.h"

namespace chestnutport::configuration {

// An isolated node still has to apply confirmed configurations, so it reads the
// store itself. Membership is too slow for this: members stay alive in it for
// seconds after their last message.
class IsolationDetector {
 public:
  // Time without contact after which a check fails. In this time, two
  // consecutive probes by this node have got no response, and no other node has
  // probed it.
  static constexpr base::Duration kIsolationTimeout =
      std::chrono::milliseconds(500);
  // Interval between two checks. Two consecutive checks have to fail, because
  // the first one after a pause of the process fails although peers are
  // reachable.
  static constexpr base::Duration kCheckInterval =
      std::chrono::milliseconds(250);

  // Records a check at `now`. `last_contact` is the time of the last contact
  // with any other node; nothing if there was none, which does not count as
  // isolation.
  void Check(std::optional<base::Instant> last_contact, base::Instant now);

  // Whether the last two checks or more have failed.
  bool is_isolated() const { return failed_checks_ > 1; }

 private:
  int failed_checks_ = 0;  // Consecutive.
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_ISOLATION_DETECTOR_H_
