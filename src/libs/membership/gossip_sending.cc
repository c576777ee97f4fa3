// Building messages and sending membership updates.
#include <algorithm>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

// Fits an Ethernet frame and the receive limit of the fleet's sockets.
constexpr size_t kMaxDatagramSize = 1400;
constexpr size_t kMaxMessageSize =
    kMaxDatagramSize - DatagramAuthenticator::kTagSize;
// Limit of pings and acks with piggybacked updates, to keep them small.
constexpr size_t kMaxPiggybackedSize = 700;

}  // namespace

void Gossip::EnqueueUpdate(base::Instant now,
                           base::NodeId id,
                           bool with_record) {
  if (!updates_.HasUnsent())
    next_flush_ = now + options_.flush_delay;
  updates_.Push(id, with_record, options_.retransmissions);
}

MemberUpdate Gossip::MakeUpdate(const MemberEntry& entry,
                                bool with_record) const {
  MemberUpdate item{entry.id, entry.incarnation, entry.state, entry.hash, ""};
  if (with_record && entry.IsCurrent())
    item.record = entry.record->bytes;
  return item;
}

GossipMessage Gossip::MakeMessage(MessageType type,
                                  base::NodeId subject) const {
  const MemberEntry& self = *table_.Find(self_);
  return {.type = type,
          .sender = self_,
          .incarnation = incarnation_,
          .hash = self.hash,
          .revision = revision_,
          .digest = table_.digest(),
          .subject = subject,
          .evidence_digest = evidence_.digest(),
          .evacuations = evacuations_.current()};
}

void Gossip::Send(const base::SocketAddress& to,
                  const GossipMessage& message,
                  GossipOutput& output) {
  std::string datagram = authenticator_.Sign(message.Encode());
  ++counters_.sent;
  counters_.sent_bytes += datagram.size();
  output.datagrams.push_back({to, std::move(datagram)});
}

void Gossip::SendWithUpdates(base::Instant now,
                             const base::SocketAddress& to,
                             GossipMessage message,
                             GossipOutput& output) {
  size_t size = message.SizeWithoutUpdates();
  for (const MemberUpdate& item : message.updates)
    size += GossipMessage::MaxEncodedSize(item);
  updates_.TakePiggybacked([&](const base::QueuedUpdate<base::NodeId>& queued) {
    const MemberEntry* entry = table_.Find(queued.id);
    if (!entry || entry->state == MemberState::kGone)
      return true;
    MemberUpdate item = MakeUpdate(*entry, queued.with_record);
    const size_t added = GossipMessage::MaxEncodedSize(item);
    if (size + added > kMaxPiggybackedSize || !budget_.HasTokens(now))
      return false;
    budget_.Consume(added);
    size += added;
    message.updates.push_back(std::move(item));
    return true;
  });
  if (size < kMaxPiggybackedSize)
    message.evidence =
        evidence_.TakePiggybacked(now, kMaxPiggybackedSize - size);
  Send(to, message, output);
}

void Gossip::Flush(base::Instant now, GossipOutput& output) {
  if (table_.live() == 0) {
    next_flush_ = now + options_.probe_interval;
    return;
  }
  while (updates_.HasUnsent() && budget_.HasTokens(now)) {
    GossipMessage message = MakeMessage(MessageType::kUpdate, {});
    size_t size = message.SizeWithoutUpdates();
    updates_.TakeUnsent([&](const base::QueuedUpdate<base::NodeId>& queued) {
      const MemberEntry* entry = table_.Find(queued.id);
      if (!entry || entry->state == MemberState::kGone)
        return true;
      MemberUpdate item = MakeUpdate(*entry, queued.with_record);
      size += GossipMessage::MaxEncodedSize(item);
      if (size > kMaxMessageSize)
        return false;
      message.updates.push_back(std::move(item));
      return true;
    });
    FanOut(message, DrawFleetFanOut(), budget_, output);
  }
  next_flush_ = updates_.HasUnsent() ? budget_.NextAvailable() : now;
}

size_t Gossip::DrawFleetFanOut() {
  const auto members = static_cast<double>(table_.local().size() + 1);
  const double draw = std::uniform_real_distribution<>(0, members)(random_);
  return draw < options_.fleet_senders ? options_.fleet_fan_out : 0;
}

// The first receiver is always the ring successor, so an update reaches the
// whole data centre along the ring; random receivers only speed that up.
void Gossip::FanOut(const GossipMessage& message,
                    size_t fleet_count,
                    base::ByteRateLimiter& budget,
                    GossipOutput& output) {
  std::vector<base::NodeId> receivers;
  const bool has_local = !table_.local().empty();
  const size_t count = options_.local_fan_out + fleet_count;
  for (size_t i = 0; i < count; ++i) {
    const bool local = i < options_.local_fan_out && has_local;
    const MemberEntry* to =
        i == 0 ? table_.RingSuccessor(local) : table_.PickLive(local, random_);
    if (!to || std::ranges::find(receivers, to->id) != receivers.end())
      continue;
    receivers.push_back(to->id);
    Send(to->record->member.gossip_address, message, output);
    budget.Consume(output.datagrams.back().bytes.size() + kPacketOverhead);
  }
}

}  // namespace chestnutport::membership
