// Determines without messages which members maintain the seed entries of a data
// centre in the store: the first in StoreDutyOrder() for which CanDoStoreDuty()
// is true.
#ifndef DUTIES_SEED_DUTY_H_
#define DUTIES_SEED_DUTY_H_

#include <optional>
#include <span>

#include "membership/member.h"

namespace chestnutport::duties {

// Seed entries of each data centre.
inline constexpr size_t kSeedsPerDataCentre = 2;

// Returns the index of the entry that `self` maintains, or nothing if it
// maintains none. Nodes whose views differ may choose the same entry, which is
// harmless.
std::optional<size_t> SeedDuty(const membership::Member& self,
                               std::span<const membership::Member> members);

}  // namespace chestnutport::duties

#endif  // DUTIES_SEED_DUTY_H_
