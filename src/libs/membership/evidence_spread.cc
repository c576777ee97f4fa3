#include "membership/evidence_spread.h"

#include <algorithm>

#include "quarantine/evidence_codec.h"

namespace chestnutport::membership {

using base::Instant;
using base::RequestFingerprint;
using quarantine::CrashLedger;
using quarantine::RequestEvidence;

EvidenceSpread::EvidenceSpread(CrashLedger& ledger,
                               const GossipOptions& options,
                               Instant now)
    : ledger_(ledger),
      options_(options),
      budget_(options.evidence_per_second, options.evidence_burst, now),
      next_flush_(now) {}

bool EvidenceSpread::IsForAll(RequestFingerprint fingerprint) const {
  const auto evidence = ledger_.Find(fingerprint);
  return evidence && (evidence->marks.size() >= CrashLedger::kSuspectMarks ||
                      !evidence->refuted.empty());
}

void EvidenceSpread::TellAll(RequestFingerprint fingerprint, Instant now) {
  if (!HasFresh())
    next_flush_ = std::max(next_flush_, now + options_.flush_delay);
  news_.Push(fingerprint, false, options_.repeats);
}

std::string EvidenceSpread::TakeFresh(Instant now, size_t room) {
  std::vector<RequestEvidence> taken;
  if (budget_.IsOpen(now)) {
    news_.TakeFresh([&](const Queue::News& news) {
      const auto evidence = ledger_.Find(news.id);
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
  next_flush_ = std::max(now, budget_.OpensAt());
  return quarantine::EncodeEvidence(taken, now);
}

std::string EvidenceSpread::TakeRepeats(Instant now, size_t room) {
  std::vector<RequestEvidence> taken;
  news_.TakeRepeats([&](const Queue::News& news) {
    const auto evidence = ledger_.Find(news.id);
    if (!evidence)
      return true;
    const size_t size = quarantine::EncodedSize(*evidence);
    if (size > room || !budget_.IsOpen(now))
      return false;
    room -= size;
    budget_.Spend(size);
    taken.push_back(*evidence);
    return true;
  });
  return quarantine::EncodeEvidence(taken, now);
}

std::vector<std::string> EvidenceSpread::PartsOf(
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

std::optional<bool> EvidenceSpread::Learn(std::string_view bytes,
                                          bool passes_on,
                                          Instant now) {
  const auto all = quarantine::DecodeEvidence(bytes, now);
  if (!all)
    return std::nullopt;
  bool is_new = false;
  for (const RequestEvidence& heard : *all) {
    const bool is_news = ledger_.Merge(heard, now);
    is_new |= is_news;
    const bool is_to_tell = (is_news && passes_on) || KnowsMore(heard);
    if (is_to_tell && IsForAll(heard.fingerprint))
      TellAll(heard.fingerprint, now);
  }
  return is_new;
}

bool EvidenceSpread::KnowsMore(const RequestEvidence& heard) const {
  const auto known = ledger_.Find(heard.fingerprint);
  return known && (known->marks.size() > heard.marks.size() ||
                   known->refuted.size() > heard.refuted.size());
}

std::string EvidenceSpread::All(Instant now) const {
  return quarantine::EncodeEvidence(ledger_.Telling(), now);
}

}  // namespace chestnutport::membership
