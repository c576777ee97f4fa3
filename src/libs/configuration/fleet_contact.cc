#include "configuration/fleet_contact.h"

namespace chestnutport::configuration {

void FleetContact::Check(std::optional<base::Instant> heard_at,
                         base::Instant now) {
  const bool is_silent = heard_at && now - *heard_at > kSilence;
  silent_checks_ = is_silent ? silent_checks_ + 1 : 0;
}

}  // namespace chestnutport::configuration
