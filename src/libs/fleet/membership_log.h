// Logs members that join and leave, at a limited number of lines per second.
#ifndef FLEET_MEMBERSHIP_LOG_H_
#define FLEET_MEMBERSHIP_LOG_H_

#include "base/time.h"
#include "membership/gossip_output.h"

namespace chestnutport::fleet {

class MembershipLog {
 public:
  void OnChange(base::Instant now, const membership::MemberChange& change);

 private:
  base::Instant second_began_;
  int logged_ = 0;
  int omitted_ = 0;  // Reported with the next line.
};

}  // namespace chestnutport::fleet

#endif  // FLEET_MEMBERSHIP_LOG_H_
