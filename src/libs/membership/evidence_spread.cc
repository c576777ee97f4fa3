#include "membership/evidence_spread.h"

#include <algorithm>
#include <vector>

#include "quarantine/evidence_codec.h"

namespace chestnutport::membership {
namespace {

using base::Instant;
using base::RequestFingerprint;
using quarantine::RequestEvidence;

bool IsUrgent(const RequestEvidence& evidence) {
  return evidence.marks.size() >= quarantine::CrashLedger::kSuspectMarks ||
         !evidence.refuted.empty();
}

}  // namespace

EvidenceSpread::EvidenceSpread(quarantine::CrashLedger& ledger,
                               const GossipOptions& options,
                               Instant now)
    : ledger_(ledger),
      options_(options),
      budget_(options.evidence_per_second, options.evidence_burst, now),
      next_flush_(now) {}

void EvidenceSpread::Tell(RequestFingerprint fingerprint, Instant now) {
  const auto evidence = ledger_.Find(fingerprint);
  if (!evidence)
    return;
  if (!HasFresh())
    next_flush_ = std::max(next_flush_, now + options_.flush_delay);
  Queue& queue = IsUrgent(*evidence) ? urgent_ : usual_;
  queue.Push(fingerprint, false, options_.repeats);
}

std::string EvidenceSpread::TakeFresh(Instant now, size_t room) {
  std::vector<RequestEvidence> taken;
  const auto take = [&](const Queue::News& news) {
    const auto evidence = ledger_.Find(news.id);
    if (!evidence)
      return true;
    const size_t size = quarantine::EncodedSize(*evidence);
    if (size > room)
      return false;
    room -= size;
    taken.push_back(*evidence);
    return true;
  };
  if (budget_.IsOpen(now)) {
    urgent_.TakeFresh(take);
    if (!urgent_.HasFresh())
      usual_.TakeFresh(take);
  }
  next_flush_ = std::max(now, budget_.OpensAt());
  return quarantine::EncodeEvidence(taken, now);
}

std::string EvidenceSpread::TakeRepeats(Instant now, size_t room) {
  std::vector<RequestEvidence> taken;
  const auto take = [&](const Queue::News& news) {
    const auto evidence = ledger_.Find(news.id);
    if (!evidence)
      return true;
    const size_t size = quarantine::EncodedSize(*evidence);
    if (size > room || !budget_.IsOpen(now))
      return false;
    room -= size;
    taken.push_back(*evidence);
    return true;
  };
  urgent_.TakeRepeats(take);
  usual_.TakeRepeats(take);
  std::string bytes = quarantine::EncodeEvidence(taken, now);
  budget_.Spend(bytes.size());
  return bytes;
}

bool EvidenceSpread::Learn(std::string_view bytes,
                           bool passes_on,
                           Instant now) {
  bool is_new = false;
  for (const RequestEvidence& heard : quarantine::DecodeEvidence(bytes, now)) {
    if (!ledger_.Merge(heard, now))
      continue;
    is_new = true;
    if (passes_on)
      Tell(heard.fingerprint, now);
  }
  return is_new;
}

std::string EvidenceSpread::All(Instant now) const {
  return quarantine::EncodeEvidence(ledger_.Telling(), now);
}

}  // namespace chestnutport::membership
