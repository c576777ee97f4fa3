#include "freshness_service/peer_chooser.h"

#include <map>
#include <random>
#include <string_view>

#include "duties/store_duty.h"

namespace chestnutport::freshness_service {

using membership::Member;
using membership::MemberState;

void PeerChooser::SetMembers(const Member& self,
                             std::span<const Member> members) {
  own_reader_.reset();
  other_readers_.clear();
  members_.clear();
  // The first member of each data centre that can read the store.
  std::map<std::string_view, const Member*> readers;
  for (const Member& member : members) {
    const bool may_answer = member.state == MemberState::kAlive ||
                            member.state == MemberState::kSuspected;
    if (member.id != self.id && may_answer)
      members_.push_back(member.gossip_address);
    if (!duties::CanDoStoreDuty(member))
      continue;
    const Member*& reader = readers[member.data_centre];
    if (!reader ||
        duties::StoreDutyOrder(member) < duties::StoreDutyOrder(*reader)) {
      reader = &member;
    }
  }
  for (const auto& [data_centre, reader] : readers) {
    if (reader->id == self.id)
      continue;
    if (data_centre == self.data_centre)
      own_reader_ = reader->gossip_address;
    else
      other_readers_.push_back(reader->gossip_address);
  }
}

std::optional<base::SocketAddress> PeerChooser::Next(base::Random& random) {
  for (size_t tries = 0; tries < kTurns.size(); ++tries) {
    const Turn turn = kTurns[next_turn_];
    next_turn_ = (next_turn_ + 1) % kTurns.size();
    if (const auto chosen = Choose(turn, random))
      return chosen;
  }
  return std::nullopt;
}

std::optional<base::SocketAddress> PeerChooser::Choose(Turn turn,
                                                       base::Random& random) {
  if (turn == Turn::kOwnReader)
    return own_reader_;
  const auto& nodes = turn == Turn::kOtherReader ? other_readers_ : members_;
  if (nodes.empty())
    return std::nullopt;
  if (turn == Turn::kOtherReader)
    return nodes[next_reader_++ % nodes.size()];
  std::uniform_int_distribution<size_t> any(0, nodes.size() - 1);
  return nodes[any(random)];
}

}  // namespace chestnutport::freshness_service
