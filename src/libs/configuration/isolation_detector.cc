#include "configuration/isolation_detector.h"

namespace chestnutport::configuration {

void IsolationDetector::Check(std::optional<base::Instant> heard_at,
                              base::Instant now) {
  const bool is_silent = heard_at && now - *heard_at > kIsolationTimeout;
  failed_checks_ = is_silent ? failed_checks_ + 1 : 0;
}

}  // namespace chestnutport::configuration
