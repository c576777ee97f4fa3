#include "configuration/reader_choice.h"

#include <algorithm>
#include <string_view>

#include "absl/container/flat_hash_set.h"
#include "duties/store_duty.h"

namespace chestnutport::configuration {
namespace {

using duties::CanDoStoreDuty;
using duties::StoreDutyOrder;
using membership::Member;
using membership::MemberState;

bool IsAhead(const Member& other, const Member& self) {
  return other.id != self.id && other.state == MemberState::kAlive &&
         StoreDutyOrder(other) < StoreDutyOrder(self);
}

struct FleetSize {
  size_t nodes = 0;
  size_t data_centres = 0;
};

FleetSize SizeOf(const Member& self, std::span<const Member> members) {
  absl::flat_hash_set<std::string_view> data_centres = {self.data_centre};
  size_t others = 0;
  for (const Member& member : members) {
    if (member.id == self.id || member.state != MemberState::kAlive)
      continue;
    ++others;
    data_centres.insert(member.data_centre);
  }
  return {1 + others, data_centres.size()};
}

// Nodes of one data centre that may try at the same time.
size_t MostTrying(size_t data_centres) {
  const size_t share = (kMostTryingPerFleet + data_centres - 1) / data_centres;
  return std::max(kReadersPerDataCentre + 1, share);
}

}  // namespace

bool IsReader(const Member& self, std::span<const Member> members) {
  if (SizeOf(self, members).nodes <= kSmallFleet)
    return true;
  const auto able = std::ranges::count_if(members, [&](const Member& other) {
    return other.data_centre == self.data_centre && CanDoStoreDuty(other) &&
           IsAhead(other, self);
  });
  return static_cast<size_t>(able) < kReadersPerDataCentre &&
         MayStandIn(self, members);
}

bool MayStandIn(const Member& self, std::span<const Member> members) {
  const auto ahead = std::ranges::count_if(members, [&](const Member& other) {
    return other.data_centre == self.data_centre && IsAhead(other, self);
  });
  const size_t data_centres = SizeOf(self, members).data_centres;
  return static_cast<size_t>(ahead) < MostTrying(data_centres);
}

bool IsAlertReader(const Member& self, std::span<const Member> members) {
  // Data centres with a member that goes before this node; its own among them
  // means that it is not the first there.
  absl::flat_hash_set<std::string_view> ahead;
  for (const Member& other : members) {
    if (CanDoStoreDuty(other) && IsAhead(other, self))
      ahead.insert(other.data_centre);
  }
  return !ahead.contains(self.data_centre) && ahead.size() < kAlertReaders;
}

}  // namespace chestnutport::configuration
