// A tenant that identifies itself by keys, with its rate limit.
#ifndef DECLARATIONS_TENANT_ACCOUNT_H_
#define DECLARATIONS_TENANT_ACCOUNT_H_

#include <optional>
#include <string>
#include <vector>

#include "declarations/key_digest.h"

namespace chestnutport::declarations {

struct TenantAccount {
  std::string name;
  std::vector<KeyDigest> keys;
  // Takes precedence over the urgency of the request's route; lower values are
  // served first.
  std::optional<int> urgency;
  double rate = 0;   // Requests per second; zero if not limited.
  double burst = 0;  // Requests.
};

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_TENANT_ACCOUNT_H_
