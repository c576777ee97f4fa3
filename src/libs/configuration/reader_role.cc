#include "configuration/reader_role.h"

#include <algorithm>
#include <utility>

#include "configuration/reader_selection.h"

namespace chestnutport::configuration {

ReadTrigger ReaderRole::SetMembers(
    const membership::Member& self,
    std::span<const membership::Member> members) {
  const ReaderSelection ranks(members);
  is_alone_ = std::ranges::none_of(members, [&](const auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  members_without_store_ = ranks.members_without_store();
  const bool was_reader = std::exchange(is_reader_, ranks.IsReader(self));
  const bool was_alert = std::exchange(
      has_short_watches_, is_reader_ && ranks.IsShortWatchReader(self));
  const size_t were_lost =
      std::exchange(short_watch_readers_without_store_,
                    ranks.CountShortWatchReadersWithoutStore());
  const bool has_new_role =
      (is_reader_ && !was_reader) || (has_short_watches_ && !was_alert);
  if (has_new_role)
    return ReadTrigger::kNewRole;
  const bool alert_reader_lost = short_watch_readers_without_store_ > were_lost;
  if (!ranks.IsSmallFleet() && alert_reader_lost &&
      ranks.IsReaderCandidate(self))
    return ReadTrigger::kShortWatchReaderLostStore;
  return ReadTrigger::kNone;
}

}  // namespace chestnutport::configuration
