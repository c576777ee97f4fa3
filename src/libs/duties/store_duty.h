// Which members do at the platform's store what a few nodes do for all.
#ifndef DUTIES_STORE_DUTY_H_
#define DUTIES_STORE_DUTY_H_

#include <cstdint>
#include <utility>

#include "membership/member.h"

namespace chestnutport::duties {

// The lowest of a data centre go first. A rendezvous hash: any node can work it
// out, and the loss of one moves only its own duties.
std::pair<uint64_t, uint64_t> StoreDutyOrder(const membership::Member& member);

// Whether others may leave a duty to the member: that it is alive does not show
// that it reaches the store.
bool CanDoStoreDuty(const membership::Member& member);

}  // namespace chestnutport::duties

#endif  // DUTIES_STORE_DUTY_H_
