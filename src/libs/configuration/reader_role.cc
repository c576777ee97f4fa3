#include "configuration/reader_role.h"

#include <algorithm>
#include <utility>

#include "configuration/reader_choice.h"

namespace chestnutport::configuration {

bool ReaderRole::SetMembers(const membership::Member& self,
                            std::span<const membership::Member> members) {
  is_reader_ = IsReader(self, members);
  is_alone_ = std::ranges::none_of(members, [&](const auto& member) {
    return member.id != self.id &&
           member.state == membership::MemberState::kAlive;
  });
  const bool was_alert = std::exchange(is_alert_, IsAlertReader(self, members));
  return is_alert_ && !was_alert;
}

}  // namespace chestnutport::configuration
