// A membership update in its transmitted form: the state of one member.
#ifndef MEMBERSHIP_MEMBER_UPDATE_H_
#define MEMBERSHIP_MEMBER_UPDATE_H_

#include <cstdint>
#include <string>

#include "base/node_id.h"
#include "membership/member.h"

namespace chestnutport::membership {

struct MemberUpdate {
  base::NodeId id;
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  uint32_t hash = 0;   // Of the member's record.
  std::string record;  // Encoded record; empty if it is left out.

  bool operator==(const MemberUpdate&) const = default;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_UPDATE_H_
