// The message of the gossip protocol and its MessagePack encoding: an array, to
// which newer versions may append fields. Receivers ignore unknown fields.
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
  kPing = 0,         // To `subject`; if zero, to any node at the address.
  kAck = 1,          // `subject` answered ping `sequence`.
  kWrongTarget = 2,  // A node other than `subject` answered ping `sequence`.
  kPingRequest = 3,  // Ping `subject` at `address` and ack `sequence`.
  kUpdate = 4,
};

struct GossipMessage {
  MessageType type = MessageType::kUpdate;
  base::NodeId sender;
  uint64_t incarnation = 0;  // Of the sender.
  uint32_t hash = 0;         // Of the sender's record.
  uint64_t revision = 0;     // Configuration revision held by the sender.
  uint64_t digest = 0;       // Of the sender's view of all members.
  base::NodeId subject;
  uint32_t sequence = 0;
  base::SocketAddress address;
  std::vector<MemberUpdate> updates;
  // Evidence on requests that were running when servers crashed, as encoded by
  // quarantine::EncodeEvidence.
  std::string evidence;
  // Digest of all evidence that the sender shares; nothing if the sender runs
  // an older version.
  std::optional<uint64_t> evidence_digest;
  // Evacuated data centres known to the sender; empty from older versions.
  evacuation::Evacuations evacuations;

  // Returns an upper bound in bytes of what `item` adds to a message.
  static size_t MaxEncodedSize(const MemberUpdate& item);
  // Upper bound in bytes without updates, evidence and evacuations.
  static constexpr size_t kMaxBaseSize = 104;
  // Upper bound in bytes of this message without updates and evidence.
  size_t SizeWithoutUpdates() const {
    return kMaxBaseSize + evacuations.NameBytes();
  }

  std::string Encode() const;
  // Returns nothing if the bytes are not a valid message.
  static std::optional<GossipMessage> Decode(std::string_view bytes);
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_MESSAGE_H_
