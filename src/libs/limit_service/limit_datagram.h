// Envelope of the datagrams of rate limits: one byte for the kind, then the
// message.
#ifndef LIMIT_SERVICE_LIMIT_DATAGRAM_H_
#define LIMIT_SERVICE_LIMIT_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::limit_service {

// The values are part of the protocol between nodes.
enum class LimitDatagramKind : char {
  kRequest = 1,  // limits::LimitRequest.
  kAnswer = 2,   // limits::LimitAnswer.
  kNotice = 3,   // limits::AllocatorNotice.
  // Asks who the allocator is. The message is a limits::AllocatorNotice: the
  // allocator known to the sender, with the epoch zero if it knows none.
  kInquiry = 4,
  // The sender of this limits::AllocatorNotice has given up its authority, or
  // cannot renew it and asks to be displaced.
  kHandOver = 5,
};

struct LimitDatagram {
  LimitDatagramKind kind;
  std::string_view message;  // Refers to the decoded bytes.

  // Returns nothing for an unknown kind.
  static std::optional<LimitDatagram> Decode(std::string_view bytes);
  std::string Encode() const;
};

}  // namespace chestnutport::limit_service

#endif  // LIMIT_SERVICE_LIMIT_DATAGRAM_H_
