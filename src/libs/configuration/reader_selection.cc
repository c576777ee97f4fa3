#include "configuration/reader_selection.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "duties/store_duty.h"

namespace chestnutport::configuration {

using duties::StoreDutyOrder;
using membership::Member;

ReaderSelection::ReaderSelection(std::span<const Member> members,
                                 ShortWatches short_watches)
    : short_watches_(short_watches) {
  absl::flat_hash_set<std::string_view> data_centres;
  for (const Member& member : members) {
    if (member.state != membership::MemberState::kAlive)
      continue;
    alive_.push_back({member.data_centre, StoreDutyOrder(member),
                      duties::CanDoStoreDuty(member)});
    const AliveMember& alive_member = alive_.back();
    data_centres.insert(alive_member.data_centre);
    if (!alive_member.can_read) {
      ++members_without_store_;
      continue;
    }
    const auto [first, is_new] = first_readers_.try_emplace(
        alive_member.data_centre, alive_member.order);
    if (!is_new)
      first->second = std::min(first->second, alive_member.order);
  }
  data_centres_ = std::max<size_t>(1, data_centres.size());
}

bool ReaderSelection::IsReader(const Member& self) const {
  if (IsSmallFleet())
    return true;
  const Order own = StoreDutyOrder(self);
  const auto ahead =
      std::ranges::count_if(alive_, [&](const AliveMember& other) {
        return other.can_read && other.data_centre == self.data_centre &&
               other.order < own;
      });
  return static_cast<size_t>(ahead) < kReadersPerDataCentre &&
         IsReaderCandidate(self);
}

bool ReaderSelection::IsReaderCandidate(const Member& self) const {
  const Order own = StoreDutyOrder(self);
  const auto ahead =
      std::ranges::count_if(alive_, [&](const AliveMember& other) {
        return other.data_centre == self.data_centre && other.order < own;
      });
  const size_t share =
      (kMaxReaderCandidates + data_centres_ - 1) / data_centres_;
  return static_cast<size_t>(ahead) <
         std::max(kReadersPerDataCentre + 1, share);
}

bool ReaderSelection::IsShortWatchReader(const Member& self) const {
  return IsAmongShortWatchReaders(self.data_centre, StoreDutyOrder(self));
}

size_t ReaderSelection::CountShortWatchReadersWithoutStore() const {
  const auto count =
      std::ranges::count_if(alive_, [this](const AliveMember& member) {
        return !member.can_read &&
               IsAmongShortWatchReaders(member.data_centre, member.order);
      });
  return static_cast<size_t>(count);
}

bool ReaderSelection::IsAmongShortWatchReaders(std::string_view data_centre,
                                               const Order& order) const {
  const auto local = first_readers_.find(data_centre);
  if (local != first_readers_.end() && local->second < order)
    return false;
  if (short_watches_ == ShortWatches::kOneInEachDataCentre)
    return true;
  const auto ahead = std::ranges::count_if(
      first_readers_, [&](const auto& first) { return first.second < order; });
  return static_cast<size_t>(ahead) < kShortWatchReaders;
}

}  // namespace chestnutport::configuration
