// What a node says of itself, in the form in which it travels. Only the node
// itself writes its record; others pass the bytes on unchanged, so fields that
// an older node does not know survive.
#ifndef MEMBERSHIP_MEMBER_RECORD_H_
#define MEMBERSHIP_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/member.h"

namespace chestnutport::membership {

struct MemberRecord {
  // Longer records are not accepted: several must fit one datagram.
  static constexpr size_t kMaxSize = 512;

  Member member;  // Without incarnation, state and revision.
  std::string bytes;
  uint32_t hash = 0;  // Of the bytes.

  static uint32_t Hash(std::string_view bytes);
  static MemberRecord Encode(const Member& member);
  // None if the bytes are no record.
  static std::optional<MemberRecord> Decode(std::string_view bytes);
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_RECORD_H_
