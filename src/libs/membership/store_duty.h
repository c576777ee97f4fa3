// Which members do at the platform's store what a few nodes do for all.
#ifndef MEMBERSHIP_STORE_DUTY_H_
#define MEMBERSHIP_STORE_DUTY_H_

#include <cstdint>
#include <utility>

#include "membership/member.h"

namespace chestnutport::membership {

// The lowest of a data centre go first. A rendezvous hash: any node can work it
// out, and the loss of one moves only its own duties.
std::pair<uint64_t, uint64_t> StoreDutyOrder(const Member& member);

// Whether others may leave a duty to the member: that it is alive does not show
// that it reaches the store.
bool CanDoStoreDuty(const Member& member);

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_STORE_DUTY_H_
