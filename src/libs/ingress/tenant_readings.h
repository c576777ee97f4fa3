// Metrics of the tenants' rate limits at this node.
#ifndef INGRESS_TENANT_READINGS_H_
#define INGRESS_TENANT_READINGS_H_

#include <vector>

#include "limits/tenant_limiter.h"
#include "telemetry/metrics_report.h"

namespace chestnutport::ingress {

// Bound on the tenants with series of their own. Those with the most requests
// have one; the others are added up as the tenant "other".
inline constexpr size_t kMaxTenantSeries = 200;

std::vector<telemetry::Reading> TenantReadings(
    std::vector<limits::TenantLimiterView> tenants);

}  // namespace chestnutport::ingress

#endif  // INGRESS_TENANT_READINGS_H_
