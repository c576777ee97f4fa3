// Anti-entropy: repairs lasting differences between two views by pulls.
#include <algorithm>
#include <utility>

#include "membership/gossip.h"

namespace chestnutport::membership {
namespace {

// Records in one response: about 200 KB.
constexpr size_t kMaxRequestedRecords = 1000;
constexpr size_t kMaxDoubted = 256;
// A response that changes more members than kManyChanges, and more than one in
// kManyChangesFraction of the view, is soon followed by another pull.
constexpr size_t kManyChangesFraction = 8;
constexpr size_t kManyChanges = 16;

}  // namespace

void Gossip::CompareDigest(base::Instant now, const GossipMessage& message) {
  CompareEvidence(now, message);
  if (message.digest == table_.digest()) {
    has_diverged_ = false;
    return;
  }
  if (!std::exchange(has_diverged_, true))
    diverged_since_ = now;
  pull_from_ = message.sender;
}

// After a partition heals, half of the members have evidence that the other
// half lacks. Equal digests of some members therefore do not end a difference;
// it ends when no message has shown one for divergence_grace.
void Gossip::CompareEvidence(base::Instant now, const GossipMessage& message) {
  const uint64_t own = evidence_.digest();
  if (message.evidence_digest.value_or(own) == own)
    return;
  if (now - evidence_differed_at_ >= options_.divergence_grace)
    evidence_differs_since_ = now;
  evidence_differed_at_ = now;
  evidence_from_ = message.sender;
}

bool Gossip::EvidenceDiffersFor(base::Duration grace, base::Instant now) const {
  return now - evidence_differed_at_ < grace &&
         now - evidence_differs_since_ >= grace;
}

void Gossip::PullIfDue(base::Instant now, GossipOutput& output) {
  const bool is_lasting =
      has_diverged_ && now - diverged_since_ >= options_.divergence_grace;
  const bool lacks_evidence =
      EvidenceDiffersFor(options_.divergence_grace, now);
  const bool is_needed =
      lacks_records_ || !has_joined_ || is_lasting || lacks_evidence;
  if (is_pulling_ || now < next_pull_ || !is_needed)
    return;
  const MemberEntry* from =
      table_.Find(lacks_evidence ? evidence_from_ : pull_from_);
  const bool has_source = from && from->IsLive() && from->record;
  const bool is_local =
      has_source && from->record->member.data_centre == data_centre_;
  // Much is pulled after a start, and traffic between data centres costs money.
  if (pulls_locally_ && (!has_joined_ || lacks_records_) && !is_local &&
      !table_.local().empty())
    from = table_.PickLive(true, random_);
  else if (!has_source)
    from = table_.PickLive(false, random_);
  if (!from)
    return;
  PullRequest request{self_, table_.digests(), MissingRecords(),
                      evidence_.digest()};
  lacks_records_ = !request.wanted_records.empty();
  is_pulling_ = true;
  ++counters_.pulls;
  const double jitter = std::uniform_real_distribution<>(0.5, 1.5)(random_);
  next_pull_ = now + std::chrono::duration_cast<base::Duration>(
                         jitter * options_.pull_interval);
  output.pulls.push_back(
      {from->record->member.control_address, request.Encode()});
}

std::vector<base::NodeId> Gossip::MissingRecords() const {
  std::vector<base::NodeId> missing;
  if (!lacks_records_)
    return missing;
  for (const MemberEntry& entry : table_.entries()) {
    if (entry.IsLive() && !entry.IsCurrent())
      missing.push_back(entry.id);
    if (missing.size() == kMaxRequestedRecords)
      break;
  }
  return missing;
}

std::string Gossip::AnswerPull(base::Instant now,
                               std::string_view bytes) const {
  const auto request = PullRequest::Decode(bytes);
  if (!request || has_left_)
    return "";
  PullResponse response{.sender = self_};
  std::array<bool, kViewParts> differs{};
  for (size_t i = 0; i < kViewParts; ++i) {
    differs[i] = request->digests[i] != table_.digests()[i];
    if (differs[i])
      response.parts.push_back(static_cast<uint8_t>(i));
  }
  for (const MemberEntry& entry : table_.entries()) {
    const bool is_sender = entry.id == request->sender;
    if (is_sender ? entry.state != MemberState::kAlive
                  : entry.IsLive() && differs[MemberTable::PartOf(entry.id)]) {
      response.members.push_back(MakeUpdate(entry, false));
    }
  }
  const MemberEntry* sender = table_.Find(request->sender);
  if (sender && sender->record) {
    AddPredecessors(sender->id, sender->record->member.gossip_address,
                    response.members);
  }
  for (const base::NodeId& id : request->wanted_records) {
    const MemberEntry* entry = table_.Find(id);
    if (entry && entry->record &&
        response.records.size() < kMaxRequestedRecords)
      response.records.push_back(entry->record->bytes);
  }
  const uint64_t evidence = evidence_.digest();
  if (request->evidence_digest.value_or(evidence) != evidence)
    response.evidence = evidence_.EncodeAll(now);
  return response.Encode();
}

void Gossip::OnPullResponse(base::Instant now,
                            std::string_view bytes,
                            GossipOutput& output) {
  const auto response = PullResponse::Decode(bytes);
  if (!response || has_left_) {
    OnPullFailed(now);
    return;
  }
  is_pulling_ = false;
  has_joined_ = true;
  has_diverged_ = false;
  const size_t changes_before = output.changes.size();
  for (const std::string& record : response->records)
    StoreRecord(now, record, output);
  const bool got_records = output.changes.size() > changes_before;
  const size_t known_before = table_.entries().size();
  for (const MemberUpdate& item : response->members)
    ApplyUpdate(now, item, Source::kPull, output);
  MergeEvidence(now, response->evidence, false, output);
  evidence_differs_since_ = now;
  DoubtUnlisted(*response);
  const size_t changed = output.changes.size() - changes_before +
                         table_.entries().size() - known_before;
  lacks_records_ = !MissingRecords().empty();
  // What the data centre does not know has to come from another one.
  pulls_locally_ =
      changed > std::max(kManyChanges, table_.live() / kManyChangesFraction);
  if (lacks_records_ && (got_records || changed > 0)) {
    pull_from_ = response->sender;
    next_pull_ = now;
    PullIfDue(now, output);
  } else if (lacks_records_ ||
             changed >
                 std::max(kManyChanges, table_.live() / kManyChangesFraction)) {
    // The responder lacks those records too, but another member may have them.
    if (lacks_records_)
      pull_from_ = {};
    const double jitter = std::uniform_real_distribution<>(0.5, 1.5)(random_);
    next_pull_ = now + std::chrono::duration_cast<base::Duration>(
                           jitter * options_.fast_pull_interval);
    diverged_since_ = now - options_.divergence_grace;
  }
}

void Gossip::OnPullFailed(base::Instant now) {
  is_pulling_ = false;
  pull_from_ = {};
  next_pull_ = now + options_.fast_pull_interval;
}

void Gossip::StoreRecord(base::Instant now,
                         std::string_view bytes,
                         GossipOutput& output) {
  const SharedRecord record = records_.Intern(bytes);
  const MemberEntry* old = record ? table_.Find(record->member.id) : nullptr;
  if (!old || old->hash != record->hash || old->IsCurrent())
    return;
  MemberEntry entry = *old;
  entry.record = record;
  UpdateTimers(now, entry);
  ReplaceEntry(std::move(entry), output);
}

// Members missing from another view are probed before they are suspected: after
// a partition heals, each side lacks many members that are alive.
void Gossip::DoubtUnlisted(const PullResponse& response) {
  std::array<bool, kViewParts> differs{};
  for (const uint8_t part : response.parts)
    differs[part % kViewParts] = true;
  absl::flat_hash_map<base::NodeId, bool> listed;
  for (const MemberUpdate& item : response.members)
    listed.emplace(item.id, true);
  for (const MemberEntry& entry : table_.entries()) {
    if (doubted_.size() >= kMaxDoubted)
      return;
    if (entry.id != self_ && entry.id != response.sender && entry.record &&
        entry.state == MemberState::kAlive &&
        differs[MemberTable::PartOf(entry.id)] && !listed.contains(entry.id)) {
      doubted_.push_back(entry.id);
    }
  }
}

}  // namespace chestnutport::membership
