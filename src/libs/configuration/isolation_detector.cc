#include "configuration/isolation_detector.h"

namespace chestnutport::configuration {

void IsolationDetector::Check(std::optional<base::Instant> last_contact,
                              base::Instant now) {
  const bool has_failed =
      last_contact && now - *last_contact > kIsolationTimeout;
  failed_checks_ = has_failed ? failed_checks_ + 1 : 0;
}

}  // namespace chestnutport::configuration
