#include "membership/evidence_disseminator.h"

#include <algorithm>

#include "quarantine/evidence_codec.h"

namespace chestnutport::membership {

using base::Instant;
using base::RequestFingerprint;
using quarantine::CrashLedger;
using quarantine::RequestEvidence;

EvidenceDisseminator::EvidenceDisseminator(CrashLedger& ledger,
                                           const GossipOptions& options,
                                           Instant now)
    : ledger_(ledger),
      options_(options),
      budget_(options.evidence_bytes_per_second,
              options.evidence_burst_bytes,
              now),
      next_flush_(now) {}

bool EvidenceDisseminator::IsFleetWide(RequestFingerprint fingerprint) const {
  const auto evidence = ledger_.Find(fingerprint);
  return evidence &&
         (evidence->crashes.size() >= CrashLedger::kSuspicionThreshold ||
          !evidence->refuted.empty());
}

void EvidenceDisseminator::Broadcast(RequestFingerprint fingerprint,
                                     Instant now) {
  if (!HasUnsent())
    next_flush_ = std::max(next_flush_, now + options_.flush_delay);
  updates_.Push(fingerprint, false, options_.retransmissions);
}

std::string EvidenceDisseminator::TakeUnsent(Instant now, size_t room) {
  std::vector<RequestEvidence> taken;
  if (budget_.HasTokens(now)) {
    updates_.TakeUnsent([&](const Queue::Item& queued) {
      const auto evidence = ledger_.Find(queued.id);
      if (!evidence)
        return true;
      const size_t size = quarantine::EncodedSize(*evidence);
      if (size > room)
        return false;
      room -= size;
      taken.push_back(*evidence);
      return true;
    });
  }
  next_flush_ = std::max(now, budget_.NextAvailable());
  return quarantine::EncodeEvidence(taken, now);
}

std::string EvidenceDisseminator::TakePiggybacked(Instant now, size_t room) {
  std::vector<RequestEvidence> taken;
  updates_.TakePiggybacked([&](const Queue::Item& queued) {
    const auto evidence = ledger_.Find(queued.id);
    if (!evidence)
      return true;
    const size_t size = quarantine::EncodedSize(*evidence);
    if (size > room || !budget_.HasTokens(now))
      return false;
    room -= size;
    budget_.Consume(size);
    taken.push_back(*evidence);
    return true;
  });
  return quarantine::EncodeEvidence(taken, now);
}

std::vector<std::string> EvidenceDisseminator::EncodeInParts(
    std::span<const RequestFingerprint> requests,
    Instant now,
    size_t room) const {
  std::vector<std::string> parts;
  std::vector<RequestEvidence> taken;
  size_t size = 0;
  for (const RequestFingerprint& request : requests) {
    const auto evidence = ledger_.Find(request);
    if (!evidence)
      continue;
    const size_t added = quarantine::EncodedSize(*evidence);
    if (size + added > room && !taken.empty()) {
      parts.push_back(quarantine::EncodeEvidence(taken, now));
      taken.clear();
      size = 0;
    }
    size += added;
    taken.push_back(*evidence);
  }
  if (!taken.empty())
    parts.push_back(quarantine::EncodeEvidence(taken, now));
  return parts;
}

std::optional<bool> EvidenceDisseminator::MergeReceived(std::string_view bytes,
                                                        bool should_relay,
                                                        Instant now) {
  const auto all = quarantine::DecodeEvidence(bytes, now);
  if (!all)
    return std::nullopt;
  bool is_new = false;
  for (const RequestEvidence& received : *all) {
    const bool is_update = ledger_.Merge(received, now);
    is_new |= is_update;
    const bool should_broadcast =
        (is_update && should_relay) || HasMoreThan(received);
    if (should_broadcast && IsFleetWide(received.fingerprint))
      Broadcast(received.fingerprint, now);
  }
  return is_new;
}

bool EvidenceDisseminator::HasMoreThan(const RequestEvidence& received) const {
  const auto known = ledger_.Find(received.fingerprint);
  return known && (known->crashes.size() > received.crashes.size() ||
                   known->refuted.size() > received.refuted.size());
}

std::string EvidenceDisseminator::EncodeAll(Instant now) const {
  return quarantine::EncodeEvidence(ledger_.SharedEvidence(), now);
}

}  // namespace chestnutport::membership
