// Determines which few members read and write the platform's store on behalf of
// all.
#ifndef DUTIES_STORE_DUTY_H_
#define DUTIES_STORE_DUTY_H_

#include <cstdint>
#include <utility>

#include "membership/member.h"

namespace chestnutport::duties {

// Returns a sort key; the members with the lowest keys of a data centre come
// first. It is a rendezvous hash: any node can compute it, and the loss of a
// member moves only its own duties.
std::pair<uint64_t, uint64_t> StoreDutyOrder(const membership::Member& member);

// Returns whether the member can perform duties at the store. A live member may
// have lost the store.
bool CanDoStoreDuty(const membership::Member& member);

}  // namespace chestnutport::duties

#endif  // DUTIES_STORE_DUTY_H_
