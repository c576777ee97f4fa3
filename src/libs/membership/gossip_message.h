// The one message of the gossip protocol, and its MessagePack form: an array,
// to which newer versions may append. Both ends ignore what they don't know.
#ifndef MEMBERSHIP_GOSSIP_MESSAGE_H_
#define MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/node_id.h"
#include "base/socket_address.h"
#include "evacuation/evacuations.h"
#include "membership/member_update.h"

namespace chestnutport::membership {

enum class MessageType : uint8_t {
  kPing = 0,         // To `subject`; zero: to whoever holds the address.
  kAck = 1,          // `subject` answered the ping `sequence`.
  kWrongTarget = 2,  // Another node than `subject` answered it.
  kPingRequest = 3,  // Ping `subject` at `address`, and answer `sequence`.
  kUpdate = 4,
};

struct GossipMessage {
  MessageType type = MessageType::kUpdate;
  base::NodeId sender;
  uint64_t incarnation = 0;  // The sender's.
  uint32_t hash = 0;         // Of the sender's record.
  uint64_t revision = 0;     // Of the configuration that the sender holds.
  uint64_t digest = 0;       // Of the sender's view of all members.
  base::NodeId subject;
  uint32_t sequence = 0;
  base::SocketAddress address;
  std::vector<MemberUpdate> updates;
  // Of requests that servers ran when they ended, as quarantine::EncodeEvidence
  // writes it.
  std::string evidence;
  // Of all that the sender knows of those; nothing: it is of an older version.
  std::optional<uint64_t> evidence_digest;
  // What the sender holds; nothing is known to older versions.
  evacuation::Evacuations evacuations;

  // The bytes that `item` adds to a message, at most.
  static size_t MaxEncodedSize(const MemberUpdate& item);
  // The bytes of a message without news and evacuations, at most.
  static constexpr size_t kMaxBaseSize = 104;
  // The bytes of this message without news, at most.
  size_t SizeWithoutUpdates() const {
    return kMaxBaseSize + evacuations.NameBytes();
  }

  std::string Encode() const;
  // None if the bytes are no message.
  static std::optional<GossipMessage> Decode(std::string_view bytes);
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_MESSAGE_H_
