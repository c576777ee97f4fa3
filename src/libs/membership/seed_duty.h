// Chooses, without any message, which members keep a data centre's seed
// entries in the store: the first by StoreDutyOrder() that can.
#ifndef MEMBERSHIP_SEED_DUTY_H_
#define MEMBERSHIP_SEED_DUTY_H_

#include <optional>
#include <span>

#include "membership/member.h"

namespace chestnutport::membership {

// Entries of each data centre.
inline constexpr size_t kSeedsPerDataCentre = 2;

// The entry that `self` keeps, counted from zero; none if others keep all.
// Two nodes whose views differ may choose the same: that is harmless.
std::optional<size_t> SeedDuty(const Member& self,
                               std::span<const Member> members);

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_SEED_DUTY_H_
