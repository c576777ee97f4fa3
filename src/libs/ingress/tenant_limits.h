// The rate limits that a configuration declares.
#ifndef INGRESS_TENANT_LIMITS_H_
#define INGRESS_TENANT_LIMITS_H_

#include <vector>

#include "declarations/tenant_directory.h"
#include "limits/tenant_limit.h"

namespace chestnutport::ingress {

// Returns the tenants that have a limit.
std::vector<limits::TenantLimit> LimitsOf(
    const declarations::TenantDirectory& tenants);

}  // namespace chestnutport::ingress

#endif  // INGRESS_TENANT_LIMITS_H_
