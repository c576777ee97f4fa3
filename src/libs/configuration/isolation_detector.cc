#include "configuration/isolation_detector.h"

namespace chestnutport::configuration {

void IsolationDetector::Check(std::optional<base::Instant> heard_at,
                              base::Instant now) {
  const bool has_failed = heard_at && now - *heard_at > kIsolationTimeout;
  failed_checks_ = has_failed ? failed_checks_ + 1 : 0;
}

}  // namespace chestnutport::configuration
