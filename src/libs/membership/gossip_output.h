// Actions that the gossip requests of its driver after each input.
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

// A request to be sent to the member's control listener. The driver passes the
// response to Gossip::OnPullResponse() or calls Gossip::OnPullFailed().
struct OutgoingPull {
  base::SocketAddress control_address;
  std::string request;
};

struct MemberChange {
  Member member;
  MemberState before = MemberState::kGone;  // kGone if it was not known.
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
  // Earlier runs of this node, as far as other members know them.
  std::vector<Member> predecessors;
  // Whether new evidence was received on requests running at crashes.
  bool evidence_changed = false;
  bool evacuations_changed = false;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_OUTPUT_H_
