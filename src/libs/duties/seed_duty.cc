#include "duties/seed_duty.h"

#include <algorithm>

#include "duties/store_duty.h"

namespace chestnutport::duties {

std::optional<size_t> SeedDuty(const membership::Member& self,
                               std::span<const membership::Member> members) {
  const auto preceding =
      std::ranges::count_if(members, [&](const membership::Member& other) {
        return other.data_centre == self.data_centre && CanDoStoreDuty(other) &&
               StoreDutyOrder(other) < StoreDutyOrder(self);
      });
  const auto place = static_cast<size_t>(preceding);
  return place < kSeedsPerDataCentre ? std::optional(place) : std::nullopt;
}

}  // namespace chestnutport::duties
