#include "configuration/reader_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <tuple>

#include "absl/container/flat_hash_set.h"

namespace chestnutport::configuration {
namespace {

using membership::Member;
using membership::MemberState;

auto Score(const Member& member) {
  const XXH64_hash_t seed =
      XXH3_64bits(member.data_centre.data(), member.data_centre.size());
  const uint64_t id = member.id.value;
  return std::tuple(XXH3_64bits_withSeed(&id, sizeof(id), seed), id);
}

size_t ReadersPerDataCentre(const Member& self,
                            std::span<const Member> members) {
  absl::flat_hash_set<std::string_view> data_centres = {self.data_centre};
  for (const Member& member : members) {
    if (member.state == MemberState::kAlive)
      data_centres.insert(member.data_centre);
  }
  const size_t share =
      (kReadersPerFleet + data_centres.size() - 1) / data_centres.size();
  return std::max(kReadersPerDataCentre, share);
}

}  // namespace

bool IsReader(const Member& self, std::span<const Member> members) {
  const auto ahead = std::ranges::count_if(members, [&](const Member& other) {
    return other.id != self.id && other.data_centre == self.data_centre &&
           other.state == MemberState::kAlive && Score(other) < Score(self);
  });
  return static_cast<size_t>(ahead) < ReadersPerDataCentre(self, members);
}

bool IsAlertReader(const Member& self, std::span<const Member> members) {
  // Data centres with a member that goes before this node; its own among them
  // means that it is not the first there.
  absl::flat_hash_set<std::string_view> ahead;
  for (const Member& other : members) {
    if (other.id != self.id && other.state == MemberState::kAlive &&
        Score(other) < Score(self)) {
      ahead.insert(other.data_centre);
    }
  }
  return !ahead.contains(self.data_centre) && ahead.size() < kAlertReaders;
}

}  // namespace chestnutport::configuration
