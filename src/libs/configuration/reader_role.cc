#include "configuration/reader_role.h"

#include <algorithm>
#include <utility>

namespace chestnutport::configuration {

ReadTrigger ReaderRole::SetMembers(
    const membership::Member& self,
    std::span<const membership::Member> members) {
  const ReaderSelection selection(members, short_watches_);
  is_alone_ = std::ranges::none_of(members, [&](const auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  members_without_store_ = selection.members_without_store();
  const bool was_reader = std::exchange(is_reader_, selection.IsReader(self));
  const bool had_short_watches = std::exchange(
      has_short_watches_, is_reader_ && selection.IsShortWatchReader(self));
  const size_t lost_before =
      std::exchange(short_watch_readers_without_store_,
                    selection.CountShortWatchReadersWithoutStore());
  const bool has_new_role =
      (is_reader_ && !was_reader) || (has_short_watches_ && !had_short_watches);
  if (has_new_role)
    return ReadTrigger::kNewRole;
  const bool short_watch_reader_lost =
      short_watch_readers_without_store_ > lost_before;
  if (!selection.IsSmallFleet() && short_watch_reader_lost &&
      selection.IsReaderCandidate(self))
    return ReadTrigger::kShortWatchReaderLostStore;
  return ReadTrigger::kNone;
}

}  // namespace chestnutport::configuration
