#include "configuration/isolation_detector.h"

namespace chestnutport::configuration {

void IsolationDetector::Check(std::optional<base::Instant> last_contact,
                              base::Instant now) {
  const bool is_silent =
      last_contact && now - *last_contact > kIsolationTimeout;
  failed_checks_ = is_silent ? failed_checks_ + 1 : 0;
}

}  // namespace chestnutport::configuration
