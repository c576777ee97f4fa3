#include "duties/store_duty.h"

#include <xxhash.h>

namespace chestnutport::duties {

std::pair<uint64_t, uint64_t> StoreDutyOrder(const membership::Member& member) {
  const XXH64_hash_t seed =
      XXH3_64bits(member.data_centre.data(), member.data_centre.size());
  const uint64_t id = member.id.value;
  return {XXH3_64bits_withSeed(&id, sizeof(id), seed), id};
}

bool CanDoStoreDuty(const membership::Member& member) {
  return member.state == membership::MemberState::kAlive &&
         !member.has_lost_store;
}

}  // namespace chestnutport::duties
