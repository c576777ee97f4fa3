#include "configuration/reader_role.h"

#include <utility>

#include "configuration/reader_choice.h"

namespace chestnutport::configuration {

ReadSoon ReaderRole::SetMembers(const membership::Member& self,
                                std::span<const membership::Member> members) {
  size_t others = 0;
  size_t lost = 0;
  for (const membership::Member& member : members) {
    if (member.id == self.id || member.state != membership::MemberState::kAlive)
      continue;
    ++others;
    lost += member.has_lost_store ? 1 : 0;
  }
  is_alone_ = others == 0;
  const bool was_reader = std::exchange(is_reader_, IsReader(self, members));
  const bool was_alert =
      std::exchange(is_alert_, is_reader_ && IsAlertReader(self, members));
  const size_t were_lost = std::exchange(lost_members_, lost);
  const bool has_new_role =
      (is_reader_ && !was_reader) || (is_alert_ && !was_alert);
  if (has_new_role)
    return ReadSoon::kNewRole;
  // In a small fleet there is nobody to hand the duty on to.
  const bool may_hand_on = is_reader_ && others >= kSmallFleet;
  return may_hand_on && lost > were_lost ? ReadSoon::kOthersLostStore
                                         : ReadSoon::kNo;
}

}  // namespace chestnutport::configuration
