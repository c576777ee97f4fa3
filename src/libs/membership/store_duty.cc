#include "membership/store_duty.h"

#include <xxhash.h>

namespace chestnutport::membership {

std::pair<uint64_t, uint64_t> StoreDutyOrder(const Member& member) {
  const XXH64_hash_t seed =
      XXH3_64bits(member.data_centre.data(), member.data_centre.size());
  const uint64_t id = member.id.value;
  return {XXH3_64bits_withSeed(&id, sizeof(id), seed), id};
}

bool CanDoStoreDuty(const Member& member) {
  return member.state == MemberState::kAlive && !member.has_lost_store;
}

}  // namespace chestnutport::membership
