// Logs at the allocator when the demand of a tenant begins to exceed its limit.
#ifndef LIMIT_SERVICE_AT_LIMIT_LOG_H_
#define LIMIT_SERVICE_AT_LIMIT_LOG_H_

#include <chrono>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/boot_clock.h"
#include "limits/limit_messages.h"

namespace chestnutport::limit_service {

class AtLimitLog {
 public:
  // A tenant is logged again only after it was within its limit for this time:
  // demand near the limit crosses it many times a second.
  static constexpr std::chrono::seconds kQuietTime{10};

  // Takes note of an answer. Returns whether a line was logged.
  bool OnAnswer(const limits::LimitAnswer& answer, base::BootInstant now);

 private:
  // When each tenant's demand last exceeded its limit.
  absl::flat_hash_map<std::string, base::BootInstant> exceeded_at_;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_AT_LIMIT_LOG_H_
