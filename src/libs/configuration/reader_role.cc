#include "configuration/reader_role.h"

#include <utility>

#include "configuration/reader_choice.h"

namespace chestnutport::configuration {

ReadSoon ReaderRole::SetMembers(const membership::Member& self,
                                std::span<const membership::Member> members) {
  size_t others = 0;
  size_t lost = 0;
  size_t lost_alert = 0;
  for (const membership::Member& member : members) {
    if (member.id == self.id || member.state != membership::MemberState::kAlive)
      continue;
    ++others;
    if (!member.has_lost_store)
      continue;
    ++lost;
    lost_alert += IsAlertReader(member, members) ? 1 : 0;
  }
  is_alone_ = others == 0;
  const bool was_reader = std::exchange(is_reader_, IsReader(self, members));
  const bool was_alert =
      std::exchange(is_alert_, is_reader_ && IsAlertReader(self, members));
  lost_members_ = lost;
  const size_t were_lost = std::exchange(lost_alert_readers_, lost_alert);
  const bool has_new_role =
      (is_reader_ && !was_reader) || (is_alert_ && !was_alert);
  if (has_new_role)
    return ReadSoon::kNewRole;
  // In a small fleet each node reads all the time.
  const bool is_large = others >= kSmallFleet;
  if (is_large && lost_alert > were_lost && MayStandIn(self, members))
    return ReadSoon::kAlertReaderLostStore;
  return ReadSoon::kNo;
}

}  // namespace chestnutport::configuration
