#include "ingress/key_policy.h"

namespace chestnutport::ingress {

std::optional<base::ErrorKind> KeyPolicy::FindError(
    KeyCheck check,
    CallOrigin origin,
    base::BootInstant now) const {
  if (check == KeyCheck::kNotRequired)
    return std::nullopt;
  if (check == KeyCheck::kMissing && origin == CallOrigin::kNested)
    return std::nullopt;
  if (current_until && now >= *current_until)
    return base::ErrorKind::kConfigurationStale;
  if (check == KeyCheck::kKnown)
    return std::nullopt;
  const bool may_be_nested = origin == CallOrigin::kNestedByName &&
                             earlier_requests_until &&
                             now < *earlier_requests_until;
  if (check == KeyCheck::kMissing && may_be_nested)
    return base::ErrorKind::kCallUnknown;
  // The newer revision may declare the key, or the route as public.
  return is_behind ? base::ErrorKind::kConfigurationStale
                   : base::ErrorKind::kUnknownKey;
}

}  // namespace chestnutport::ingress
