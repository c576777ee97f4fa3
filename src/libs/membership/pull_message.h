// Messages that repair differences between two views: one node sends digests of
// the parts of its view, the other responds with the parts that differ.
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

// A view is divided into parts by the highest bits of the member ids.
inline constexpr size_t kViewParts = 64;
inline constexpr int kViewPartShift = 58;
using ViewDigests = std::array<uint64_t, kViewParts>;

struct PullRequest {
  base::NodeId sender;
  ViewDigests digests{};
  std::vector<base::NodeId>
      wanted_records;  // Members whose records are requested.
  // As in GossipMessage.
  std::optional<uint64_t> evidence_digest;

  std::string Encode() const;
  static std::optional<PullRequest> Decode(std::string_view bytes);
};

struct PullResponse {
  base::NodeId sender;
  std::vector<uint8_t> parts;         // Parts that differ.
  std::vector<MemberUpdate> members;  // All live members in those parts.
  std::vector<std::string>
      records;  // Encoded records of the requested members.
  std::string
      evidence;  // Set if the evidence digests differ; see GossipMessage.

  std::string Encode() const;
  static std::optional<PullResponse> Decode(std::string_view bytes);
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_PULL_MESSAGE_H_
