// What the gossip asks its driver to do after each input.
#ifndef MEMBERSHIP_GOSSIP_OUTPUT_H_
#define MEMBERSHIP_GOSSIP_OUTPUT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/socket_address.h"
#include "membership/member.h"

namespace chestnutport::membership {

struct OutgoingDatagram {
  base::SocketAddress to;
  std::string bytes;
};

// Call the member's control listener with `request`, and give the answer to
// Gossip::OnPullResponse(), or tell Gossip::OnPullFailed().
struct OutgoingPull {
  base::SocketAddress control_address;
  std::string request;
};

struct MemberChange {
  Member member;
  MemberState before = MemberState::kGone;  // kGone: it was not known.
};

struct ReportedRevision {
  uint64_t revision = 0;
  Member from;
};

struct GossipOutput {
  std::vector<OutgoingDatagram> datagrams;
  std::vector<OutgoingPull> pulls;
  std::vector<MemberChange> changes;
  std::optional<ReportedRevision> revision;
  // Something was learnt of requests that servers ran when they ended.
  bool evidence_changed = false;
  // Other data centres are evacuated than before, or one is no more.
  bool evacuations_changed = false;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_OUTPUT_H_
