// Chooses, without any message, which members keep a data centre's seed
// entries in the store: the first by StoreDutyOrder() that can.
#ifndef DUTIES_SEED_DUTY_H_
#define DUTIES_SEED_DUTY_H_

#include <optional>
#include <span>

#include "membership/member.h"

namespace chestnutport::duties {

// Entries of each data centre.
inline constexpr size_t kSeedsPerDataCentre = 2;

// The entry that `self` keeps, counted from zero; none if others keep all.
// Two nodes whose views differ may choose the same: that is harmless.
std::optional<size_t> SeedDuty(const membership::Member& self,
                               std::span<const membership::Member> members);

}  // namespace chestnutport::duties

#endif  // DUTIES_SEED_DUTY_H_
