#include "limit_service/at_limit_log.h"

#include "telemetry/log.h"

namespace chestnutport::limit_service {

bool AtLimitLog::OnAnswer(const limits::LimitAnswer& answer,
                          base::BootInstant now) {
  bool has_logged = false;
  for (const limits::LimitAnswerEntry& entry : answer.entries) {
    if (!entry.is_over_limit)
      continue;
    const auto [found, is_new] = exceeded_at_.try_emplace(entry.tenant, now);
    if (is_new || now - found->second >= kQuietTime) {
      telemetry::LogEvent(telemetry::Event::kTenantAtLimit,
                          {{"tenant", entry.tenant}});
      has_logged = true;
    }
    found->second = now;
  }
  return has_logged;
}

}  // namespace chestnutport::limit_service
