#include "configuration/reader_ranks.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "duties/store_duty.h"

namespace chestnutport::configuration {

using duties::StoreDutyOrder;
using membership::Member;

ReaderRanks::ReaderRanks(std::span<const Member> members) {
  absl::flat_hash_set<std::string_view> data_centres;
  for (const Member& member : members) {
    if (member.state != membership::MemberState::kAlive)
      continue;
    alive_.push_back({member.data_centre, StoreDutyOrder(member),
                      duties::CanDoStoreDuty(member)});
    const Ranked& ranked = alive_.back();
    data_centres.insert(ranked.data_centre);
    if (!ranked.can_read) {
      ++lost_members_;
      continue;
    }
    const auto [first, is_new] =
        first_.try_emplace(ranked.data_centre, ranked.order);
    if (!is_new)
      first->second = std::min(first->second, ranked.order);
  }
  data_centres_ = std::max<size_t>(1, data_centres.size());
}

bool ReaderRanks::IsReader(const Member& self) const {
  if (IsSmall())
    return true;
  const Order own = StoreDutyOrder(self);
  const auto ahead = std::ranges::count_if(alive_, [&](const Ranked& other) {
    return other.can_read && other.data_centre == self.data_centre &&
           other.order < own;
  });
  return static_cast<size_t>(ahead) < kReadersPerDataCentre && MayStandIn(self);
}

bool ReaderRanks::MayStandIn(const Member& self) const {
  const Order own = StoreDutyOrder(self);
  const auto ahead = std::ranges::count_if(alive_, [&](const Ranked& other) {
    return other.data_centre == self.data_centre && other.order < own;
  });
  const size_t share =
      (kMostTryingPerFleet + data_centres_ - 1) / data_centres_;
  return static_cast<size_t>(ahead) <
         std::max(kReadersPerDataCentre + 1, share);
}

bool ReaderRanks::IsAlertReader(const Member& self) const {
  return IsFirst(self.data_centre, StoreDutyOrder(self));
}

size_t ReaderRanks::CountLostAlertReaders() const {
  const auto lost = std::ranges::count_if(alive_, [this](const Ranked& member) {
    return !member.can_read && IsFirst(member.data_centre, member.order);
  });
  return static_cast<size_t>(lost);
}

bool ReaderRanks::IsFirst(std::string_view data_centre,
                          const Order& order) const {
  const auto near = first_.find(data_centre);
  if (near != first_.end() && near->second < order)
    return false;
  const auto ahead = std::ranges::count_if(
      first_, [&](const auto& first) { return first.second < order; });
  return static_cast<size_t>(ahead) < kAlertReaders;
}

}  // namespace chestnutport::configuration
