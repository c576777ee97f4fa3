// Mends differences between two views of the fleet: one node sends the digests
// of its view, part by part, the other answers with the parts that differ.
#ifndef MEMBERSHIP_PULL_MESSAGE_H_
#define MEMBERSHIP_PULL_MESSAGE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/node_id.h"
#include "membership/member_update.h"

namespace chestnutport::membership {

// A view is divided by the highest bits of the members' identities.
inline constexpr size_t kViewParts = 64;
inline constexpr int kViewPartShift = 58;
using ViewDigests = std::array<uint64_t, kViewParts>;

struct PullRequest {
  base::NodeId sender;
  ViewDigests digests{};
  std::vector<base::NodeId>
      wanted_records;  // Members whose records are asked for.
  // See GossipMessage.
  std::optional<uint64_t> evidence_digest;

  std::string Encode() const;
  static std::optional<PullRequest> Decode(std::string_view bytes);
};

struct PullResponse {
  base::NodeId sender;
  std::vector<uint8_t> parts;         // Those that differ.
  std::vector<MemberUpdate> members;  // EncodeAll live members in those parts.
  std::vector<std::string> records;   // Of the wanted members, as bytes.
  std::string evidence;  // If the digests differ; see GossipMessage.

  std::string Encode() const;
  static std::optional<PullResponse> Decode(std::string_view bytes);
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_PULL_MESSAGE_H_
