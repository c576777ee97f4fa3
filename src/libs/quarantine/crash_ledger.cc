#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "quarantine/surprisal.h"

namespace chestnutport::quarantine {
namespace {

using base::Instant;
using base::RequestFingerprint;

// Accepts observations and refuted crashes.
template <typename Crash>
bool Contains(const std::vector<Crash>& crashes, const CrashId& id) {
  return std::ranges::find(crashes, id, &Crash::crash) != crashes.end();
}

// The order in which crashes are kept. Crashes with equal Lamport times are
// ordered by their identity, so that the order is the same on all nodes.
template <typename Crash>
std::pair<uint64_t, CrashId> SortKey(const Crash& crash) {
  return {crash.lamport_time, crash.crash};
}

template <typename Crash>
void InsertSorted(std::vector<Crash>& crashes, const Crash& crash) {
  const auto place =
      std::ranges::upper_bound(crashes, SortKey(crash), {}, SortKey<Crash>);
  crashes.insert(place, crash);
}

// Returns a digest that differs from that of an observation of the same crash.
uint64_t RefutedDigest(RequestFingerprint fingerprint, const CrashId& crash) {
  return ~CrashDigest(fingerprint, crash);
}

}  // namespace

std::vector<RequestEvidence> CrashLedger::AddCrash(const ServerCrash& crash,
                                                   Instant now) {
  OnChanged();
  AddRecentCrash(crash.crash, now);
  ++lamport_clock_;
  const auto suspects =
      std::ranges::count_if(crash.running, &RunningRequest::is_suspect);
  std::vector<RequestEvidence> changed;
  for (const RunningRequest& request : crash.running) {
    Row& row = FindOrAddRow(request.fingerprint);
    const CrashObservation observation{
        .crash = crash.crash,
        .lamport_time = lamport_clock_,
        .run_time = request.run_time,
        .other_crashes = CountOtherCrashes(row, crash.crash, now),
        .is_sole_suspect = request.is_suspect && suspects == 1,
        .at = now};
    if (!AddObservation(row, observation))
      continue;
    row.changed_at = now;
    changed.push_back(ToEvidence(request.fingerprint, row));
  }
  return changed;
}

bool CrashLedger::Merge(const RequestEvidence& received, Instant now) {
  if (received.fingerprint.value == 0 ||
      (received.crashes.empty() && received.refuted.empty())) {
    return false;
  }
  Row& row = FindOrAddRow(received.fingerprint);
  bool is_new = false;
  for (const RefutedCrash& refuted : received.refuted) {
    lamport_clock_ = std::max(lamport_clock_, refuted.lamport_time);
    is_new |= AddRefuted(row, refuted);
  }
  for (const CrashObservation& observation : received.crashes) {
    lamport_clock_ = std::max(lamport_clock_, observation.lamport_time);
    const bool is_retained = observation.at + kRetention > now;
    is_new |= is_retained && AddObservation(row, observation);
  }
  if (is_new) {
    row.changed_at = now;
    OnChanged();
  }
  if (row.crashes.empty() && row.refuted.empty())
    rows_.erase(received.fingerprint);
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
  for (const CrashObservation& observation : crashes)
    AddRefuted(row, {observation.crash, observation.lamport_time});
  row.changed_at = now;
  return ToEvidence(fingerprint, row);
}

void CrashLedger::Expire(Instant now) {
  OnChanged();
  absl::erase_if(rows_, [now](auto& item) {
    Row& row = item.second;
    std::erase_if(row.crashes, [now](const CrashObservation& observation) {
      return observation.at + kRetention <= now;
    });
    if (row.changed_at + kRetention <= now)
      row.refuted.clear();
    return row.crashes.empty() && row.refuted.empty();
  });
  while (!recent_crashes_.empty() &&
         recent_crashes_.front().at + kCrashRateWindow <= now)
    recent_crashes_.pop_front();
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
  std::vector<RequestEvidence> shared;
  for (const auto& [fingerprint, row] : rows_) {
    if (IsShared(row))
      shared.push_back(ToEvidence(fingerprint, row));
  }
  std::ranges::sort(
      shared, std::greater(), [](const RequestEvidence& evidence) {
        return std::pair(evidence.crashes.size(), evidence.fingerprint);
      });
  shared.resize(std::min(shared.size(), kMaxSharedRequests));
  return shared;
}

uint64_t CrashLedger::digest() const {
  if (digest_)
    return *digest_;
  uint64_t digest = 0;
  for (const auto& [fingerprint, row] : rows_) {
    if (!IsShared(row))
      continue;
    for (const CrashObservation& observation : row.crashes)
      digest ^= CrashDigest(fingerprint, observation.crash);
    for (const RefutedCrash& refuted : row.refuted)
      digest ^= RefutedDigest(fingerprint, refuted.crash);
  }
  digest_ = digest;
  return digest;
}

bool CrashLedger::IsShared(const Row& row) {
  return row.crashes.size() >= kSuspicionThreshold || !row.refuted.empty();
}

VerdictUntil CrashLedger::Evaluate(const Row& row, Instant now) {
  if (row.crashes.size() < kSuspicionThreshold)
    return {};
  const Instant last =
      std::ranges::max(row.crashes, {}, &CrashObservation::at).at;
  const base::Duration period = QuarantinePeriod(row);
  if (now < last + period)
    return {Verdict::kQuarantined, last + period};
  return {Verdict::kSuspected, last + kRetention};
}

base::Duration CrashLedger::QuarantinePeriod(const Row& row) {
  if (!MeetsQuarantineCriteria(row))
    return {};
  return row.crashes.size() == kQuarantineThreshold ? kFirstQuarantinePeriod
                                                    : kQuarantinePeriod;
}

bool CrashLedger::MeetsQuarantineCriteria(const Row& row) {
  const bool was_sole_suspect =
      std::ranges::any_of(row.crashes, &CrashObservation::is_sole_suspect);
  if (row.crashes.size() < kQuarantineThreshold || !was_sole_suspect)
    return false;
  const base::Duration run_time =
      std::ranges::max(row.crashes, {}, &CrashObservation::run_time).run_time;
  int surprisal = 0;
  for (const CrashObservation& observation : row.crashes)
    surprisal += Surprisal(run_time, observation.other_crashes);
  const auto extra_crashes =
      static_cast<int>(row.crashes.size() - kQuarantineThreshold);
  return surprisal >=
         kQuarantineSurprisal + kSurprisalPerExtraCrash * extra_crashes;
}

RequestEvidence CrashLedger::ToEvidence(RequestFingerprint fingerprint,
                                        const Row& row) {
  return {fingerprint, row.crashes, row.refuted};
}

bool CrashLedger::AddObservation(Row& row,
                                 const CrashObservation& observation) {
  if (Contains(row.refuted, observation.crash) ||
      Contains(row.crashes, observation.crash))
    return false;
  InsertSorted(row.crashes, observation);
  return KeepLatest(row, observation.crash);
}

bool CrashLedger::AddRefuted(Row& row, const RefutedCrash& refuted) {
  if (Contains(row.refuted, refuted.crash))
    return false;
  std::erase_if(row.crashes, [&refuted](const CrashObservation& observation) {
    return observation.crash == refuted.crash;
  });
  InsertSorted(row.refuted, refuted);
  return KeepLatest(row, refuted.crash);
}

bool CrashLedger::KeepLatest(Row& row, const CrashId& added) {
  if (row.crashes.size() + row.refuted.size() <= kMaxCrashesPerRequest)
    return true;
  const bool is_observation =
      row.refuted.empty() ||
      (!row.crashes.empty() &&
       SortKey(row.crashes.front()) < SortKey(row.refuted.front()));
  const CrashId dropped =
      is_observation ? row.crashes.front().crash : row.refuted.front().crash;
  if (is_observation)
    row.crashes.erase(row.crashes.begin());
  else
    row.refuted.erase(row.refuted.begin());
  return dropped != added;
}

CrashLedger::Row& CrashLedger::FindOrAddRow(RequestFingerprint fingerprint) {
  const auto found = rows_.find(fingerprint);
  if (found != rows_.end())
    return found->second;
  if (rows_.size() >= kMaxRequests)
    EvictRow();
  return rows_[fingerprint];
}

void CrashLedger::EvictRow() {
  OnChanged();
  const auto least = std::ranges::min_element(rows_, {}, [](const auto& item) {
    return std::pair(item.second.crashes.size(), item.second.changed_at);
  });
  rows_.erase(least);
}

void CrashLedger::AddRecentCrash(const CrashId& crash, Instant at) {
  recent_crashes_.push_back({crash, at});
  if (recent_crashes_.size() > kMaxRecentCrashes)
    recent_crashes_.pop_front();
}

int CrashLedger::CountOtherCrashes(const Row& row,
                                   const CrashId& latest,
                                   Instant now) const {
  return static_cast<int>(
      std::ranges::count_if(recent_crashes_, [&](const RecentCrash& recent) {
        return recent.crash.node == latest.node && recent.crash != latest &&
               recent.at + kCrashRateWindow > now &&
               !Contains(row.crashes, recent.crash);
      }));
}

}  // namespace chestnutport::quarantine
