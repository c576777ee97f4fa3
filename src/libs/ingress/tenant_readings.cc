#include "ingress/tenant_readings.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace chestnutport::ingress {
namespace {

using limits::TenantLimiterView;
using telemetry::Metric;
using telemetry::Reading;

constexpr char kOtherTenants[] = "other";

uint64_t RequestsOf(const TenantLimiterView& tenant) {
  return tenant.admitted + tenant.rejected + tenant.unknown;
}

void AppendTenant(const TenantLimiterView& tenant,
                  std::vector<Reading>& readings) {
  // The values of labels are separated by commas.
  const std::string name = absl::StrReplaceAll(tenant.tenant, {{",", "_"}});
  const auto append = [&](const char* result, uint64_t count) {
    readings.push_back({Metric::kTenantRequests,
                        absl::StrCat(name, ",", result),
                        static_cast<double>(count)});
  };
  append("admitted", tenant.admitted);
  append("returned", tenant.refunded);
  append("rate-limited", tenant.rejected);
  append("rate-limit-unknown", tenant.unknown);
}

// Replaces the tenants beyond the bound by their sum.
void AddUpOthers(std::vector<TenantLimiterView>& tenants) {
  if (tenants.size() <= kMaxTenantSeries)
    return;
  std::ranges::stable_sort(tenants, std::greater<>(), RequestsOf);
  TenantLimiterView others{.tenant = kOtherTenants};
  for (size_t i = kMaxTenantSeries; i < tenants.size(); ++i) {
    others.admitted += tenants[i].admitted;
    others.refunded += tenants[i].refunded;
    others.rejected += tenants[i].rejected;
    others.unknown += tenants[i].unknown;
  }
  tenants.resize(kMaxTenantSeries);
  tenants.push_back(std::move(others));
}

}  // namespace

std::vector<Reading> TenantReadings(std::vector<TenantLimiterView> tenants) {
  std::vector<Reading> readings;
  const auto leases =
      std::ranges::count_if(tenants, [](const TenantLimiterView& tenant) {
        return tenant.rate_share > 0 || tenant.burst_share > 0;
      });
  readings.push_back({Metric::kLimitLeases, "", static_cast<double>(leases)});
  AddUpOthers(tenants);
  for (const TenantLimiterView& tenant : tenants) {
    if (RequestsOf(tenant) > 0)
      AppendTenant(tenant, readings);
  }
  return readings;
}

}  // namespace chestnutport::ingress
