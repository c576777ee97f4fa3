// Telling other nodes which requests servers ran when they ended.
#include <map>
#include <string>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

// Of evidence in a message; other versions read no longer parts.
constexpr size_t kLargestEvidence = 1000;

}  // namespace

void Gossip::TellEvidence(base::Instant now,
                          std::span<const base::RequestFingerprint> requests,
                          GossipOutput& output) {
  if (left_)
    return;
  // What each collector is to be told.
  std::map<base::NodeId, std::vector<base::RequestFingerprint>> told;
  for (const base::RequestFingerprint& request : requests) {
    if (evidence_.IsForAll(request)) {
      evidence_.TellAll(request, now);
      continue;
    }
    for (const MemberEntry* collector :
         table_.Choose(request.value, EvidenceSpread::kCollectors)) {
      if (collector->id != self_)
        told[collector->id].push_back(request);
    }
  }
  for (const auto& [collector, part] : told)
    TellCollector(now, *table_.Find(collector), part, output);
}

void Gossip::LearnEvidence(base::Instant now,
                           std::string_view bytes,
                           bool passes_on,
                           GossipOutput& output) {
  const auto is_new = evidence_.Learn(bytes, passes_on, now);
  if (!is_new)
    ++counters_.malformed;
  output.has_evidence |= is_new.value_or(false);
}

void Gossip::TellCollector(base::Instant now,
                           const MemberEntry& collector,
                           std::span<const base::RequestFingerprint> requests,
                           GossipOutput& output) {
  for (std::string& part : evidence_.PartsOf(requests, now, kLargestEvidence)) {
    // Beyond the budget it is left: the next end tells of those that matter.
    if (!evidence_.budget().IsOpen(now))
      return;
    GossipMessage message = MakeMessage(MessageType::kNews, {});
    message.evidence = std::move(part);
    Send(collector.record->member.gossip_address, message, output);
    evidence_.budget().Spend(output.datagrams.back().bytes.size() +
                             kPacketHead);
  }
}

void Gossip::FlushEvidence(base::Instant now, GossipOutput& output) {
  if (table_.live() == 0) {
    evidence_.Postpone(now + options_.probe_interval);
    return;
  }
  while (evidence_.HasFresh()) {
    GossipMessage message = MakeMessage(MessageType::kNews, {});
    message.evidence = evidence_.TakeFresh(now, kLargestEvidence);
    if (message.evidence.empty())
      return;
    FanOut(message, evidence_.budget(), output);
  }
}

}  // namespace chestnutport::membership
