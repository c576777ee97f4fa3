#include "configuration/reader_role.h"

#include <algorithm>
#include <utility>

#include "configuration/reader_ranks.h"

namespace chestnutport::configuration {

ReadSoon ReaderRole::SetMembers(const membership::Member& self,
                                std::span<const membership::Member> members) {
  const ReaderRanks ranks(members);
  is_alone_ = std::ranges::none_of(members, [&](const auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  lost_members_ = ranks.lost_members();
  const bool was_reader = std::exchange(is_reader_, ranks.IsReader(self));
  const bool was_alert =
      std::exchange(is_alert_, is_reader_ && ranks.IsAlertReader(self));
  const size_t were_lost =
      std::exchange(lost_alert_readers_, ranks.CountLostAlertReaders());
  const bool has_new_role =
      (is_reader_ && !was_reader) || (is_alert_ && !was_alert);
  if (has_new_role)
    return ReadSoon::kNewRole;
  const bool alert_reader_lost = lost_alert_readers_ > were_lost;
  if (!ranks.IsSmall() && alert_reader_lost && ranks.MayStandIn(self))
    return ReadSoon::kAlertReaderLostStore;
  return ReadSoon::kNo;
}

}  // namespace chestnutport::configuration
