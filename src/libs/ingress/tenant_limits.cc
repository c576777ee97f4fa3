#include "ingress/tenant_limits.h"

namespace chestnutport::ingress {

std::vector<limits::TenantLimit> LimitsOf(
    const declarations::TenantDirectory& tenants) {
  std::vector<limits::TenantLimit> limits;
  for (const declarations::TenantAccount& account : tenants.accounts()) {
    if (account.rate > 0)
      limits.push_back({account.name, account.rate, account.burst});
  }
  return limits;
}

}  // namespace chestnutport::ingress
