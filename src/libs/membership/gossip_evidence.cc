// Dissemination of evidence on requests that were running when servers crashed.
#include <map>
#include <string>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

// Bytes of evidence in one message. Receivers of any version reject binary
// fields longer than kMaxPartSize.
constexpr size_t kMaxEvidenceSize = 1000;

}  // namespace

void Gossip::AnnounceEvidence(
    base::Instant now,
    std::span<const base::RequestFingerprint> requests,
    GossipOutput& output) {
  if (has_left_)
    return;
  std::map<base::NodeId, std::vector<base::RequestFingerprint>> by_collector;
  for (const base::RequestFingerprint& request : requests) {
    if (evidence_.IsFleetWide(request)) {
      evidence_.Broadcast(request, now);
      continue;
    }
    for (const MemberEntry* collector : table_.PickByRendezvousHash(
             request.value, EvidenceDisseminator::kCollectors)) {
      if (collector->id != self_)
        by_collector[collector->id].push_back(request);
    }
  }
  for (const auto& [collector, part] : by_collector)
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
       evidence_.EncodeInParts(requests, now, kMaxEvidenceSize)) {
    // Excess is dropped: what matters is reported again with its next crash.
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
    message.evidence = evidence_.TakeUnsent(now, kMaxEvidenceSize);
    if (message.evidence.empty())
      return;
    FanOut(message, options_.fleet_fan_out, evidence_.budget(), output);
  }
}

}  // namespace chestnutport::membership
