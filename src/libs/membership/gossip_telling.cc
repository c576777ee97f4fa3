// Messages: making them, and telling news.
#include <algorithm>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

// Fits an Ethernet frame, and what the fleet's sockets receive.
constexpr size_t kLargestDatagram = 1400;
constexpr size_t kLargestMessage = kLargestDatagram - DatagramSeal::kTagSize;
// News on a ping or an ack stay small.
constexpr size_t kLargestWithNews = 700;

}  // namespace

void Gossip::TellSoon(base::Instant now, base::NodeId id, bool with_record) {
  if (!news_.HasFresh())
    next_flush_ = now + options_.flush_delay;
  news_.Push(id, with_record, options_.repeats);
}

NewsItem Gossip::ItemOf(const MemberEntry& entry, bool with_record) const {
  NewsItem item{entry.id, entry.incarnation, entry.state, entry.hash, ""};
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
  std::string datagram = seal_.Seal(message.Encode());
  ++counters_.sent;
  counters_.sent_bytes += datagram.size();
  output.datagrams.push_back({to, std::move(datagram)});
}

void Gossip::SendWithNews(base::Instant now,
                          const base::SocketAddress& to,
                          GossipMessage message,
                          GossipOutput& output) {
  size_t size = message.HeadSize();
  for (const NewsItem& item : message.news)
    size += GossipMessage::SizeOf(item);
  news_.TakeRepeats([&](const QueuedNews<base::NodeId>& news) {
    const MemberEntry* entry = table_.Find(news.id);
    if (!entry || entry->state == MemberState::kGone)
      return true;
    NewsItem item = ItemOf(*entry, news.with_record);
    const size_t added = GossipMessage::SizeOf(item);
    if (size + added > kLargestWithNews || !budget_.IsOpen(now))
      return false;
    budget_.Spend(added);
    size += added;
    message.news.push_back(std::move(item));
    return true;
  });
  if (size < kLargestWithNews)
    message.evidence = evidence_.TakeRepeats(now, kLargestWithNews - size);
  Send(to, message, output);
}

void Gossip::Flush(base::Instant now, GossipOutput& output) {
  if (table_.live() == 0) {
    next_flush_ = now + options_.probe_interval;
    return;
  }
  while (news_.HasFresh() && budget_.IsOpen(now)) {
    GossipMessage message = MakeMessage(MessageType::kNews, {});
    size_t size = message.HeadSize();
    news_.TakeFresh([&](const QueuedNews<base::NodeId>& news) {
      const MemberEntry* entry = table_.Find(news.id);
      if (!entry || entry->state == MemberState::kGone)
        return true;
      NewsItem item = ItemOf(*entry, news.with_record);
      size += GossipMessage::SizeOf(item);
      if (size > kLargestMessage)
        return false;
      message.news.push_back(std::move(item));
      return true;
    });
    FanOut(message, budget_, output);
  }
  next_flush_ = news_.HasFresh() ? budget_.OpensAt() : now;
}

// The neighbour is always told: as each node does so, news come round the whole
// data centre, and the random ones only make that fast.
void Gossip::FanOut(const GossipMessage& message,
                    ByteBudget& budget,
                    GossipOutput& output) {
  std::vector<base::NodeId> told;
  const bool has_near = !table_.near().empty();
  const size_t count = options_.near_fan_out + options_.far_fan_out;
  for (size_t i = 0; i < count; ++i) {
    const bool near = i < options_.near_fan_out && has_near;
    const MemberEntry* to =
        i == 0 ? table_.Neighbour(near) : table_.PickLive(near, random_);
    if (!to || std::ranges::find(told, to->id) != told.end())
      continue;
    told.push_back(to->id);
    Send(to->record->member.gossip_address, message, output);
    budget.Spend(output.datagrams.back().bytes.size() + kPacketHead);
  }
}

}  // namespace chestnutport::membership
