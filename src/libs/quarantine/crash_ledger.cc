#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "quarantine/surprise.h"

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
  return {end.order, end.crash};
}

template <typename End>
void InsertByRank(std::vector<End>& ends, const End& end) {
  const auto place =
      std::ranges::upper_bound(ends, RankOf(end), {}, RankOf<End>);
  ends.insert(place, end);
}

// Another one than that of the mark.
uint64_t RefutedDigest(RequestFingerprint fingerprint, const CrashId& crash) {
  return ~MarkDigest(fingerprint, crash);
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
    const CrashMark mark{.crash = crash.crash,
                         .order = latest_order_,
                         .ran = request.ran,
                         .other_ends = OtherEnds(row, crash.crash, now),
                         .is_alone = request.is_suspect && suspects == 1,
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
      (heard.marks.empty() && heard.refuted.empty())) {
    return false;
  }
  Row& row = RowOf(heard.fingerprint);
  bool is_new = false;
  for (const RefutedEnd& end : heard.refuted) {
    latest_order_ = std::max(latest_order_, end.order);
    is_new |= AddRefuted(row, end);
  }
  for (const CrashMark& mark : heard.marks) {
    latest_order_ = std::max(latest_order_, mark.order);
    const bool is_remembered = mark.at + kMemory > now;
    is_new |= is_remembered && AddMark(row, mark);
  }
  if (is_new) {
    row.changed_at = now;
    OnChanged();
  }
  if (row.marks.empty() && row.refuted.empty())
    rows_.erase(heard.fingerprint);
  return is_new;
}

std::optional<RequestEvidence> CrashLedger::Refute(
    RequestFingerprint fingerprint,
    Instant now) {
  const auto found = rows_.find(fingerprint);
  if (found == rows_.end() || found->second.marks.empty())
    return std::nullopt;
  OnChanged();
  Row& row = found->second;
  const std::vector<CrashMark> marks = row.marks;
  for (const CrashMark& mark : marks)
    AddRefuted(row, {mark.crash, mark.order});
  row.changed_at = now;
  return ToEvidence(fingerprint, row);
}

void CrashLedger::Expire(Instant now) {
  OnChanged();
  absl::erase_if(rows_, [now](auto& item) {
    Row& row = item.second;
    std::erase_if(row.marks, [now](const CrashMark& mark) {
      return mark.at + kMemory <= now;
    });
    if (row.changed_at + kMemory <= now)
      row.refuted.clear();
    return row.marks.empty() && row.refuted.empty();
  });
  while (!ends_.empty() && ends_.front().at + kEndsWindow <= now)
    ends_.pop_front();
}

VerdictUntil CrashLedger::VerdictOf(RequestFingerprint fingerprint,
                                    Instant now) const {
  const auto found = rows_.find(fingerprint);
  return found == rows_.end() ? VerdictUntil() : Judge(found->second, now);
}

Verdicts CrashLedger::AllVerdicts(Instant now) const {
  Verdicts all;
  for (const auto& [fingerprint, row] : rows_) {
    const VerdictUntil verdict = Judge(row, now);
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

std::vector<RequestEvidence> CrashLedger::Telling() const {
  std::vector<RequestEvidence> told;
  for (const auto& [fingerprint, row] : rows_) {
    if (IsTold(row))
      told.push_back(ToEvidence(fingerprint, row));
  }
  std::ranges::sort(told, std::greater(), [](const RequestEvidence& evidence) {
    return std::pair(evidence.marks.size(), evidence.fingerprint);
  });
  told.resize(std::min(told.size(), kMostTold));
  return told;
}

uint64_t CrashLedger::digest() const {
  if (digest_)
    return *digest_;
  uint64_t digest = 0;
  for (const auto& [fingerprint, row] : rows_) {
    if (!IsTold(row))
      continue;
    for (const CrashMark& mark : row.marks)
      digest ^= MarkDigest(fingerprint, mark.crash);
    for (const RefutedEnd& end : row.refuted)
      digest ^= RefutedDigest(fingerprint, end.crash);
  }
  digest_ = digest;
  return digest;
}

bool CrashLedger::IsTold(const Row& row) {
  return row.marks.size() >= kSuspectMarks || !row.refuted.empty();
}

VerdictUntil CrashLedger::Judge(const Row& row, Instant now) {
  if (row.marks.size() < kSuspectMarks)
    return {};
  const Instant last = std::ranges::max(row.marks, {}, &CrashMark::at).at;
  const base::Duration hold = HoldOf(row);
  if (now < last + hold)
    return {Verdict::kQuarantined, last + hold};
  return {Verdict::kSuspected, last + kMemory};
}

base::Duration CrashLedger::HoldOf(const Row& row) {
  if (!IsProved(row))
    return {};
  return row.marks.size() == kQuarantineMarks ? kFirstHold : kHold;
}

bool CrashLedger::IsProved(const Row& row) {
  const bool was_alone = std::ranges::any_of(row.marks, &CrashMark::is_alone);
  if (row.marks.size() < kQuarantineMarks || !was_alone)
    return false;
  const base::Duration runs =
      std::ranges::max(row.marks, {}, &CrashMark::ran).ran;
  int surprise = 0;
  for (const CrashMark& mark : row.marks)
    surprise += Surprise(runs, mark.other_ends);
  const auto further = static_cast<int>(row.marks.size() - kQuarantineMarks);
  return surprise >= kQuarantineSurprise + kSurpriseOfFurther * further;
}

RequestEvidence CrashLedger::ToEvidence(RequestFingerprint fingerprint,
                                        const Row& row) {
  return {fingerprint, row.marks, row.refuted};
}

bool CrashLedger::AddMark(Row& row, const CrashMark& mark) {
  if (Holds(row.refuted, mark.crash) || Holds(row.marks, mark.crash))
    return false;
  InsertByRank(row.marks, mark);
  return KeepLatest(row, mark.crash);
}

bool CrashLedger::AddRefuted(Row& row, const RefutedEnd& end) {
  if (Holds(row.refuted, end.crash))
    return false;
  std::erase_if(row.marks, [&end](const CrashMark& mark) {
    return mark.crash == end.crash;
  });
  InsertByRank(row.refuted, end);
  return KeepLatest(row, end.crash);
}

bool CrashLedger::KeepLatest(Row& row, const CrashId& added) {
  if (row.marks.size() + row.refuted.size() <= kMostMarks)
    return true;
  const bool is_mark = row.refuted.empty() ||
                       (!row.marks.empty() && RankOf(row.marks.front()) <
                                                  RankOf(row.refuted.front()));
  const CrashId dropped =
      is_mark ? row.marks.front().crash : row.refuted.front().crash;
  if (is_mark)
    row.marks.erase(row.marks.begin());
  else
    row.refuted.erase(row.refuted.begin());
  return dropped != added;
}

CrashLedger::Row& CrashLedger::RowOf(RequestFingerprint fingerprint) {
  const auto found = rows_.find(fingerprint);
  if (found != rows_.end())
    return found->second;
  if (rows_.size() >= kMostRequests)
    MakeRoom();
  return rows_[fingerprint];
}

void CrashLedger::MakeRoom() {
  OnChanged();
  const auto least = std::ranges::min_element(rows_, {}, [](const auto& item) {
    return std::pair(item.second.marks.size(), item.second.changed_at);
  });
  rows_.erase(least);
}

void CrashLedger::NoteEnd(const CrashId& crash, Instant at) {
  ends_.push_back({crash, at});
  if (ends_.size() > kMostEnds)
    ends_.pop_front();
}

int CrashLedger::OtherEnds(const Row& row,
                           const CrashId& latest,
                           Instant now) const {
  return static_cast<int>(std::ranges::count_if(ends_, [&](const End& end) {
    return end.crash.node == latest.node && end.crash != latest &&
           end.at + kEndsWindow > now && !Holds(row.marks, end.crash);
  }));
}

}  // namespace chestnutport::quarantine
