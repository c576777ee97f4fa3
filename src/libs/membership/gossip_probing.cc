// Pings and acks, and failure detection when acks are missing.
#include <algorithm>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

constexpr size_t kMaxRelays = 64;
// Earlier runs of a node, each with another departure of its server.
constexpr size_t kMaxPredecessors = 4;
constexpr std::chrono::seconds kSweepInterval(5);
// How often a second all members together ping each member that is gone or has
// left. A restarted node may have no address of a live member to contact.
constexpr double kAbsentPingsPerSecond = 2;

}  // namespace

void Gossip::AnswerPing(base::Instant now,
                        const base::SocketAddress& from,
                        const GossipMessage& ping,
                        bool was_unknown,
                        GossipOutput& output) {
  if (!acks_.HasTokens(now))
    return;
  acks_.Consume(1);
  const bool is_join = ping.subject.value == 0;
  const bool is_addressee = is_join || ping.subject == self_;
  GossipMessage ack =
      MakeMessage(is_addressee ? MessageType::kAck : MessageType::kWrongTarget,
                  is_addressee ? self_ : ping.subject);
  ack.sequence = ping.sequence;
  if (was_unknown || is_join) {
    ack.updates.push_back(MakeUpdate(*table_.Find(self_), true));
    AddPredecessors(ping.sender, from, ack.updates);
  }
  AddUnlessAlive(ping.sender, ack);
  SendWithUpdates(now, from, std::move(ack), output);
}

// Adds the member's state unless it is kAlive, so that it can refute the claim.
void Gossip::AddUnlessAlive(base::NodeId id, GossipMessage& message) const {
  const MemberEntry* entry = table_.Find(id);
  if (entry && entry->state != MemberState::kAlive)
    message.updates.push_back(MakeUpdate(*entry, false));
}

void Gossip::AddPredecessors(base::NodeId id,
                             const base::SocketAddress& address,
                             std::vector<MemberUpdate>& updates) const {
  std::vector<base::ServerDeparture> added;
  for (const MemberEntry& entry : table_.entries()) {
    if (added.size() == kMaxPredecessors)
      return;
    if (!IsPredecessorAt(entry, id, address) ||
        std::ranges::find(added, *entry.record->member.departure) !=
            added.end()) {
      continue;
    }
    added.push_back(*entry.record->member.departure);
    MemberUpdate item = MakeUpdate(entry, true);
    // A gone member is not believed to be gone by others; one whose address is
    // taken has left.
    item.state = MemberState::kLeft;
    updates.push_back(std::move(item));
  }
}

void Gossip::OnAck(base::Instant now,
                   const GossipMessage& ack,
                   GossipOutput& output) {
  const auto matches = [&](const auto& waiting) {
    return waiting.sequence == ack.sequence && waiting.target == ack.subject;
  };
  const auto relay = std::ranges::find_if(relays_, matches);
  if (relay != relays_.end()) {
    GossipMessage forwarded = MakeMessage(ack.type, ack.subject);
    forwarded.sequence = relay->origin_sequence;
    Send(relay->origin, forwarded, output);
    relays_.erase(relay);
  }
  const auto probe = std::ranges::find_if(probes_, matches);
  if (probe == probes_.end())
    return;
  probes_.erase(probe);
  if (ack.type != MessageType::kWrongTarget)
    return;
  SetState(now, ack.subject, MemberState::kLeft, output);
  EnqueueUpdate(now, ack.subject, false);
}

void Gossip::OnPingRequest(base::Instant now,
                           const base::SocketAddress& from,
                           const GossipMessage& request,
                           GossipOutput& output) {
  if (relays_.size() >= kMaxRelays || request.subject.value == 0)
    return;
  const base::Instant deadline =
      now + options_.direct_timeout + options_.indirect_timeout;
  GossipMessage ping = MakeMessage(MessageType::kPing, request.subject);
  ping.sequence = ++last_sequence_;
  relays_.push_back(
      {request.subject, ping.sequence, from, request.sequence, deadline});
  Send(request.address, ping, output);
}

void Gossip::ProbeNext(base::Instant now, GossipOutput& output) {
  constexpr unsigned kProbeKinds = 4;
  const unsigned kind = probe_turn_++ % kProbeKinds;
  const bool local = kind < 2 && !table_.local().empty();
  const bool probes_successor = kind % 2 == 0;
  const MemberEntry* target = probes_successor
                                  ? table_.RingSuccessor(local)
                                  : table_.NextProbeTarget(local, random_);
  if (target)
    StartProbe(now, *target, output);
}

void Gossip::StartProbe(base::Instant now,
                        const MemberEntry& target,
                        GossipOutput& output) {
  if (std::ranges::find(probes_, target.id, &Probe::target) != probes_.end())
    return;
  GossipMessage ping = MakeMessage(MessageType::kPing, target.id);
  ping.sequence = ++last_sequence_;
  probes_.push_back(
      {target.id, ping.sequence, now + options_.direct_timeout, false});
  AddUnlessAlive(target.id, ping);
  SendWithUpdates(now, target.record->member.gossip_address, std::move(ping),
                  output);
}

void Gossip::ProbeDoubted(base::Instant now, GossipOutput& output) {
  while (!doubted_.empty()) {
    const MemberEntry* entry = table_.Find(doubted_.back());
    doubted_.pop_back();
    if (!entry || entry->state != MemberState::kAlive || !entry->record)
      continue;
    StartProbe(now, *entry, output);
    return;
  }
}

void Gossip::PingAbsent(GossipOutput& output) {
  const std::chrono::duration<double> interval = options_.probe_interval;
  const double probability = kAbsentPingsPerSecond * interval.count() *
                             static_cast<double>(table_.absent()) /
                             static_cast<double>(table_.live() + 1);
  if (std::uniform_real_distribution<>(0, 1)(random_) >= probability)
    return;
  const MemberEntry* absent = table_.PickAbsent(random_);
  if (!absent)
    return;
  const base::SocketAddress address = absent->record->member.gossip_address;
  if (absent->state == MemberState::kLeft && table_.IsAddressInUse(address))
    return;
  // No ack is awaited. If reachable, the member refutes the claim that it is
  // gone. A node that has taken its address is added by its answer; it may have
  // no members yet, so the ping carries the record of this node.
  GossipMessage ping = MakeMessage(MessageType::kPing, absent->id);
  ping.sequence = ++last_sequence_;
  ping.updates.push_back(MakeUpdate(*table_.Find(self_), true));
  AddUnlessAlive(absent->id, ping);
  Send(address, ping, output);
}

void Gossip::ExpireProbes(base::Instant now, GossipOutput& output) {
  std::vector<base::NodeId> unanswered;
  for (Probe& probe : probes_) {
    if (now < probe.deadline)
      continue;
    if (probe.is_indirect)
      unanswered.push_back(probe.target);
    else
      ProbeIndirectly(now, probe, output);
  }
  std::erase_if(probes_,
                [&](const Probe& probe) { return now >= probe.deadline; });
  for (const base::NodeId& id : unanswered)
    Suspect(now, id, output);
}

void Gossip::ProbeIndirectly(base::Instant now,
                             Probe& probe,
                             GossipOutput& output) {
  probe.is_indirect = true;
  probe.deadline = now + options_.indirect_timeout;
  const MemberEntry* target = table_.Find(probe.target);
  if (!target || !target->record)
    return;
  const base::SocketAddress address = target->record->member.gossip_address;
  GossipMessage retry = MakeMessage(MessageType::kPing, probe.target);
  retry.sequence = probe.sequence;
  Send(address, retry, output);
  GossipMessage request = MakeMessage(MessageType::kPingRequest, probe.target);
  request.sequence = probe.sequence;
  request.address = address;
  for (size_t i = 0; i < options_.indirect_probes; ++i) {
    const bool local = i == 0 && !table_.local().empty();
    const MemberEntry* helper = table_.PickLive(local, random_);
    if (helper && helper->id != probe.target)
      Send(helper->record->member.gossip_address, request, output);
  }
}

void Gossip::Suspect(base::Instant now, base::NodeId id, GossipOutput& output) {
  const MemberEntry* entry = table_.Find(id);
  if (!entry || entry->state != MemberState::kAlive)
    return;
  ++counters_.suspected;
  SetState(now, id, MemberState::kSuspected, output);
  EnqueueUpdate(now, id, false);
  GossipMessage message = MakeMessage(MessageType::kUpdate, id);
  AddUnlessAlive(id, message);
  Send(table_.Find(id)->record->member.gossip_address, message, output);
}

void Gossip::ExpireSuspicions(base::Instant now, GossipOutput& output) {
  std::vector<base::NodeId> ended;
  for (const auto& [id, deadline] : suspicions_) {
    if (now >= deadline)
      ended.push_back(id);
  }
  for (const base::NodeId& id : ended)
    SetState(now, id, MemberState::kGone, output);
}

void Gossip::RemoveExpired(base::Instant now) {
  if (now < next_sweep_)
    return;
  next_sweep_ = now + kSweepInterval;
  std::erase_if(relays_,
                [now](const Relay& relay) { return now >= relay.deadline; });
  std::vector<base::NodeId> ended;
  for (const auto& [id, when] : remove_at_) {
    if (now >= when)
      ended.push_back(id);
  }
  for (const base::NodeId& id : ended) {
    remove_at_.erase(id);
    const MemberEntry* entry = table_.Find(id);
    if (entry && (!entry->IsLive() || !entry->record))
      table_.Remove(id);
  }
}

// Missing acks after a pause of this process are caused by the pause.
void Gossip::CompensateForPause(base::Instant now) {
  const base::Instant planned = NextRun();
  if (now <= planned + options_.pause_threshold)
    return;
  probes_.clear();
  relays_.clear();
  for (auto& [id, deadline] : suspicions_)
    deadline += now - planned;
}

}  // namespace chestnutport::membership
