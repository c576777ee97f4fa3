#include "membership/seed_duty.h"

#include <algorithm>

#include "membership/store_duty.h"

namespace chestnutport::membership {

std::optional<size_t> SeedDuty(const Member& self,
                               std::span<const Member> members) {
  const auto ahead = std::ranges::count_if(members, [&](const Member& other) {
    return other.data_centre == self.data_centre && CanDoStoreDuty(other) &&
           StoreDutyOrder(other) < StoreDutyOrder(self);
  });
  const auto place = static_cast<size_t>(ahead);
  return place < kSeedsPerDataCentre ? std::optional(place) : std::nullopt;
}

}  // namespace chestnutport::membership
