#include "telemetry/metrics_report.h"

namespace chestnutport::telemetry {

void MetricsReport::Keep(std::string_view service, std::string_view tenant) {
  const auto is_other = [&](const auto& series) {
    return (!service.empty() && series.labels.service != service) ||
           (!tenant.empty() && series.labels.tenant != tenant);
  };
  std::erase_if(calls, is_other);
  std::erase_if(attempts, is_other);
}

}  // namespace chestnutport::telemetry
