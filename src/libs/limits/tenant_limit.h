// The limit of a tenant, as the configuration in force declares it.
#ifndef LIMITS_TENANT_LIMIT_H_
#define LIMITS_TENANT_LIMIT_H_

#include <string>

namespace chestnutport::limits {

struct TenantLimit {
  std::string name;
  double rate = 0;   // Requests per second; zero means no limit.
  double burst = 0;  // Requests; less than one counts as one.
};

}  // namespace chestnutport::limits

#endif  // LIMITS_TENANT_LIMIT_H_
