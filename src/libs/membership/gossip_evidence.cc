// SharedEvidence other nodes which requests servers ran when they ended.
#include <map>
#include <string>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

// Of evidence in a message; other versions read no longer parts.
constexpr size_t kLargestEvidence = 1000;

}  // namespace

void Gossip::AnnounceEvidence(
    base::Instant now,
    std::span<const base::RequestFingerprint> requests,
    GossipOutput& output) {
  if (has_left_)
    return;
  // What each collector is to be told.
  std::map<base::NodeId, std::vector<base::RequestFingerprint>> told;
  for (const base::RequestFingerprint& request : requests) {
    if (evidence_.IsFleetWide(request)) {
      evidence_.Broadcast(request, now);
      continue;
    }
    for (const MemberEntry* collector : table_.PickByRendezvousHash(
             request.value, EvidenceDisseminator::kCollectors)) {
      if (collector->id != self_)
        told[collector->id].push_back(request);
    }
  }
  for (const auto& [collector, part] : told)
    SendToCollector(now, *table_.Find(collector), part, output);
}

void Gossip::MergeEvidence(base::Instant now,
                           std::string_view bytes,
                           bool should_relay,
                           GossipOutput& output) {
  const auto is_new = evidence_.MergeReceived(bytes, should_relay, now);
  if (!is_new)
    ++counters_.malformed;
  output.evidence_changed |= is_new.value_or(false);
}

void Gossip::SendToCollector(base::Instant now,
                             const MemberEntry& collector,
                             std::span<const base::RequestFingerprint> requests,
                             GossipOutput& output) {
  for (std::string& part :
       evidence_.EncodeInParts(requests, now, kLargestEvidence)) {
    // Beyond the budget it is left: the next end tells of those that matter.
    if (!evidence_.budget().HasTokens(now))
      return;
    GossipMessage message = MakeMessage(MessageType::kUpdate, {});
    message.evidence = std::move(part);
    Send(collector.record->member.gossip_address, message, output);
    evidence_.budget().Consume(output.datagrams.back().bytes.size() +
                               kPacketOverhead);
  }
}

void Gossip::FlushEvidence(base::Instant now, GossipOutput& output) {
  if (table_.live() == 0) {
    evidence_.PostponeFlush(now + options_.probe_interval);
    return;
  }
  while (evidence_.HasUnsent()) {
    GossipMessage message = MakeMessage(MessageType::kUpdate, {});
    message.evidence = evidence_.TakeUnsent(now, kLargestEvidence);
    if (message.evidence.empty())
      return;
    FanOut(message, evidence_.budget(), output);
  }
}

}  // namespace chestnutport::membership
