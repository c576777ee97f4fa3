#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "quarantine/surprisal.h"

namespace chestnutport::quarantine {
namespace {

using base::Instant;
using base::RequestFingerprint;

// Of marks, or of refuted ends.
template <typename End>
bool Holds(const std::vector<End>& ends, const CrashId& id) {
  return std::ranges::find(ends, id, &End::crash) != ends.end();
}

// The order in which ends are kept; that of ends that knew nothing of each
// other is any, but one.
template <typename End>
std::pair<uint64_t, CrashId> RankOf(const End& end) {
  return {end.lamport_time, end.crash};
}

template <typename End>
void InsertByRank(std::vector<End>& ends, const End& end) {
  const auto place =
      std::ranges::upper_bound(ends, RankOf(end), {}, RankOf<End>);
  ends.insert(place, end);
}

// Another one than that of the mark.
uint64_t RefutedDigest(RequestFingerprint fingerprint, const CrashId& crash) {
  return ~CrashDigest(fingerprint, crash);
}

}  // namespace

std::vector<RequestEvidence> CrashLedger::AddCrash(const ServerCrash& crash,
                                                   Instant now) {
  OnChanged();
  NoteEnd(crash.crash, now);
  ++latest_order_;
  const auto suspects =
      std::ranges::count_if(crash.running, &RunningRequest::is_suspect);
  std::vector<RequestEvidence> told;
  for (const RunningRequest& request : crash.running) {
    Row& row = RowOf(request.fingerprint);
    const CrashObservation mark{
        .crash = crash.crash,
        .lamport_time = latest_order_,
        .run_time = request.run_time,
        .other_crashes = OtherEnds(row, crash.crash, now),
        .is_sole_suspect = request.is_suspect && suspects == 1,
        .at = now};
    if (!AddMark(row, mark))
      continue;
    row.changed_at = now;
    told.push_back(ToEvidence(request.fingerprint, row));
  }
  return told;
}

bool CrashLedger::Merge(const RequestEvidence& heard, Instant now) {
  if (heard.fingerprint.value == 0 ||
      (heard.crashes.empty() && heard.refuted.empty())) {
    return false;
  }
  Row& row = RowOf(heard.fingerprint);
  bool is_new = false;
  for (const RefutedCrash& end : heard.refuted) {
    latest_order_ = std::max(latest_order_, end.lamport_time);
    is_new |= AddRefuted(row, end);
  }
  for (const CrashObservation& mark : heard.crashes) {
    latest_order_ = std::max(latest_order_, mark.lamport_time);
    const bool is_remembered = mark.at + kRetention > now;
    is_new |= is_remembered && AddMark(row, mark);
  }
  if (is_new) {
    row.changed_at = now;
    OnChanged();
  }
  if (row.crashes.empty() && row.refuted.empty())
    rows_.erase(heard.fingerprint);
  return is_new;
}

std::optional<RequestEvidence> CrashLedger::Refute(
    RequestFingerprint fingerprint,
    Instant now) {
  const auto found = rows_.find(fingerprint);
  if (found == rows_.end() || found->second.crashes.empty())
    return std::nullopt;
  OnChanged();
  Row& row = found->second;
  const std::vector<CrashObservation> crashes = row.crashes;
  for (const CrashObservation& mark : crashes)
    AddRefuted(row, {mark.crash, mark.lamport_time});
  row.changed_at = now;
  return ToEvidence(fingerprint, row);
}

void CrashLedger::Expire(Instant now) {
  OnChanged();
  absl::erase_if(rows_, [now](auto& item) {
    Row& row = item.second;
    std::erase_if(row.crashes, [now](const CrashObservation& mark) {
      return mark.at + kRetention <= now;
    });
    if (row.changed_at + kRetention <= now)
      row.refuted.clear();
    return row.crashes.empty() && row.refuted.empty();
  });
  while (!ends_.empty() && ends_.front().at + kCrashRateWindow <= now)
    ends_.pop_front();
}

VerdictUntil CrashLedger::VerdictOf(RequestFingerprint fingerprint,
                                    Instant now) const {
  const auto found = rows_.find(fingerprint);
  return found == rows_.end() ? VerdictUntil() : Evaluate(found->second, now);
}

Verdicts CrashLedger::AllVerdicts(Instant now) const {
  Verdicts all;
  for (const auto& [fingerprint, row] : rows_) {
    const VerdictUntil verdict = Evaluate(row, now);
    if (verdict.verdict != Verdict::kFree)
      all.Set(fingerprint, verdict);
  }
  return all;
}

std::optional<RequestEvidence> CrashLedger::Find(
    RequestFingerprint fingerprint) const {
  const auto found = rows_.find(fingerprint);
  if (found == rows_.end())
    return std::nullopt;
  return ToEvidence(fingerprint, found->second);
}

std::vector<RequestEvidence> CrashLedger::SharedEvidence() const {
  std::vector<RequestEvidence> told;
  for (const auto& [fingerprint, row] : rows_) {
    if (IsTold(row))
      told.push_back(ToEvidence(fingerprint, row));
  }
  std::ranges::sort(told, std::greater(), [](const RequestEvidence& evidence) {
    return std::pair(evidence.crashes.size(), evidence.fingerprint);
  });
  told.resize(std::min(told.size(), kMaxSharedRequests));
  return told;
}

uint64_t CrashLedger::digest() const {
  if (digest_)
    return *digest_;
  uint64_t digest = 0;
  for (const auto& [fingerprint, row] : rows_) {
    if (!IsTold(row))
      continue;
    for (const CrashObservation& mark : row.crashes)
      digest ^= CrashDigest(fingerprint, mark.crash);
    for (const RefutedCrash& end : row.refuted)
      digest ^= RefutedDigest(fingerprint, end.crash);
  }
  digest_ = digest;
  return digest;
}

bool CrashLedger::IsTold(const Row& row) {
  return row.crashes.size() >= kSuspicionThreshold || !row.refuted.empty();
}

VerdictUntil CrashLedger::Evaluate(const Row& row, Instant now) {
  if (row.crashes.size() < kSuspicionThreshold)
    return {};
  const Instant last =
      std::ranges::max(row.crashes, {}, &CrashObservation::at).at;
  const base::Duration hold = HoldOf(row);
  if (now < last + hold)
    return {Verdict::kQuarantined, last + hold};
  return {Verdict::kSuspected, last + kRetention};
}

base::Duration CrashLedger::HoldOf(const Row& row) {
  if (!IsProved(row))
    return {};
  return row.crashes.size() == kQuarantineThreshold ? kFirstQuarantinePeriod
                                                    : kQuarantinePeriod;
}

bool CrashLedger::IsProved(const Row& row) {
  const bool was_alone =
      std::ranges::any_of(row.crashes, &CrashObservation::is_sole_suspect);
  if (row.crashes.size() < kQuarantineThreshold || !was_alone)
    return false;
  const base::Duration runs =
      std::ranges::max(row.crashes, {}, &CrashObservation::run_time).run_time;
  int surprise = 0;
  for (const CrashObservation& mark : row.crashes)
    surprise += Surprisal(runs, mark.other_crashes);
  const auto further =
      static_cast<int>(row.crashes.size() - kQuarantineThreshold);
  return surprise >= kQuarantineSurprisal + kSurprisalPerExtraCrash * further;
}

RequestEvidence CrashLedger::ToEvidence(RequestFingerprint fingerprint,
                                        const Row& row) {
  return {fingerprint, row.crashes, row.refuted};
}

bool CrashLedger::AddMark(Row& row, const CrashObservation& mark) {
  if (Holds(row.refuted, mark.crash) || Holds(row.crashes, mark.crash))
    return false;
  InsertByRank(row.crashes, mark);
  return KeepLatest(row, mark.crash);
}

bool CrashLedger::AddRefuted(Row& row, const RefutedCrash& end) {
  if (Holds(row.refuted, end.crash))
    return false;
  std::erase_if(row.crashes, [&end](const CrashObservation& mark) {
    return mark.crash == end.crash;
  });
  InsertByRank(row.refuted, end);
  return KeepLatest(row, end.crash);
}

bool CrashLedger::KeepLatest(Row& row, const CrashId& added) {
  if (row.crashes.size() + row.refuted.size() <= kMaxCrashesPerRequest)
    return true;
  const bool is_mark = row.refuted.empty() || (!row.crashes.empty() &&
                                               RankOf(row.crashes.front()) <
                                                   RankOf(row.refuted.front()));
  const CrashId dropped =
      is_mark ? row.crashes.front().crash : row.refuted.front().crash;
  if (is_mark)
    row.crashes.erase(row.crashes.begin());
  else
    row.refuted.erase(row.refuted.begin());
  return dropped != added;
}

CrashLedger::Row& CrashLedger::RowOf(RequestFingerprint fingerprint) {
  const auto found = rows_.find(fingerprint);
  if (found != rows_.end())
    return found->second;
  if (rows_.size() >= kMaxRequests)
    MakeRoom();
  return rows_[fingerprint];
}

void CrashLedger::MakeRoom() {
  OnChanged();
  const auto least = std::ranges::min_element(rows_, {}, [](const auto& item) {
    return std::pair(item.second.crashes.size(), item.second.changed_at);
  });
  rows_.erase(least);
}

void CrashLedger::NoteEnd(const CrashId& crash, Instant at) {
  ends_.push_back({crash, at});
  if (ends_.size() > kMaxRecentCrashes)
    ends_.pop_front();
}

int CrashLedger::OtherEnds(const Row& row,
                           const CrashId& latest,
                           Instant now) const {
  return static_cast<int>(std::ranges::count_if(ends_, [&](const End& end) {
    return end.crash.node == latest.node && end.crash != latest &&
           end.at + kCrashRateWindow > now && !Holds(row.crashes, end.crash);
  }));
}

}  // namespace chestnutport::quarantine
