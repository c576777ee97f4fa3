// The encoded description that a node publishes of itself and alone writes.
// Others relay the bytes unchanged, which preserves fields unknown to them.
#ifndef MEMBERSHIP_MEMBER_RECORD_H_
#define MEMBERSHIP_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/member.h"

namespace chestnutport::membership {

struct MemberRecord {
  // Longer records are rejected, so that several fit one datagram.
  static constexpr size_t kMaxSize = 512;

  Member member;  // Without incarnation, state and revision.
  std::string bytes;
  uint32_t hash = 0;  // Of the bytes.

  static uint32_t Hash(std::string_view bytes);
  static MemberRecord Encode(const Member& member);
  // Returns nothing if the bytes are not a valid record.
  static std::optional<MemberRecord> Decode(std::string_view bytes);
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_RECORD_H_
