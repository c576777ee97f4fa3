// Collects a node's evidence on requests that were running when servers
// crashed, from its own server and from other nodes, and derives the verdicts.
// Does no I/O; times are passed in.
//
// Each node has its own ledger and decides alone, without coordination. Ledgers
// that have received the same evidence, in any order and any number of times,
// hold the same evidence and reach the same verdicts. docs/design/quarantine.md
// explains the constants.
#ifndef QUARANTINE_CRASH_LEDGER_H_
#define QUARANTINE_CRASH_LEDGER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "quarantine/request_evidence.h"
#include "quarantine/server_crash.h"
#include "quarantine/verdict.h"

namespace chestnutport::quarantine {

class CrashLedger {
 public:
  // Numbers of crashes after which a request is a suspect, and after which it
  // may be quarantined. After one crash all requests that were running are
  // equally likely to be the cause; after two, the cause remains together with
  // requests that were retried beside it. A quarantine therefore also requires
  // one crash of a server that was running no other suspect.
  static constexpr size_t kSuspicionThreshold = 2;
  static constexpr size_t kQuarantineThreshold = 3;
  // The total surprisal that a quarantine also requires. It corresponds to a
  // probability of one in 250,000 that three crashes had other causes. Each
  // further crash raises the requirement, since a long-running request collects
  // some surprisal from many coincidental crashes.
  static constexpr int kQuarantineSurprisal = 54;
  static constexpr int kSurprisalPerExtraCrash = 6;
  // How long a quarantine lasts after the last of exactly kQuarantineThreshold
  // crashes; then the request is tried again as a suspect. Three crashes may
  // happen within a third of a second when two requests crash servers at once.
  // An innocent request that ran beside them is answered when it is tried. By
  // then a crashed server has restarted, and most are warm.
  static constexpr std::chrono::seconds kFirstQuarantinePeriod{5};
  // How long a quarantine lasts after further crashes. By then a repaired
  // server can answer the request; an unrepaired one crashes at most once in
  // this time.
  static constexpr std::chrono::minutes kQuarantinePeriod{10};
  // How long crashes and refutations are kept.
  static constexpr std::chrono::minutes kRetention{20};

  // Memory limits, about 1 MB in all. Requests with the fewest crashes are
  // evicted first, the oldest first among those.
  static constexpr size_t kMaxRequests = 4096;
  // Crashes kept of one request, refuted or not. The latest by Lamport time are
  // kept: this order is the same on all nodes, so all keep the same crashes. If
  // the order were that of reception, nodes would keep different crashes and
  // exchange them for ever.
  static constexpr size_t kMaxCrashesPerRequest = 8;
  static constexpr size_t kMaxRecentCrashes = 1024;
  // Limit on the requests in one response to a pull: about 40 kB.
  static constexpr size_t kMaxSharedRequests = 512;

  // Records a crash of this node's server. Returns the evidence now held on
  // each request that the crash was added to.
  std::vector<RequestEvidence> AddCrash(const ServerCrash& crash,
                                        base::Instant now);
  // Adds evidence from another node. Returns whether any of it was new.
  bool Merge(const RequestEvidence& received, base::Instant now);
  // Marks all known crashes of the request as refuted, because a server
  // answered it or an operator released it. Returns the evidence to be
  // announced, or nothing if no crash was known.
  std::optional<RequestEvidence> Refute(base::RequestFingerprint fingerprint,
                                        base::Instant now);
  // Removes evidence older than kRetention.
  void Expire(base::Instant now);

  VerdictUntil VerdictOf(base::RequestFingerprint fingerprint,
                         base::Instant now) const;
  // Returns the verdicts on all requests that are not free.
  Verdicts AllVerdicts(base::Instant now) const;

  // Returns nothing if the ledger has no evidence on the request.
  std::optional<RequestEvidence> Find(
      base::RequestFingerprint fingerprint) const;
  // Returns the evidence to be shared with all nodes: on requests with two
  // crashes or more, and on those with refuted crashes. Limited to the
  // kMaxSharedRequests requests with the most crashes.
  std::vector<RequestEvidence> SharedEvidence() const;
  // A digest of the identities of all shared crashes, refuted or not, whatever
  // their times.
  uint64_t digest() const;
  size_t size() const { return rows_.size(); }

 private:
  struct Row {
    // Both are sorted by Lamport time, the latest last.
    std::vector<CrashObservation> crashes;
    std::vector<RefutedCrash> refuted;
    base::Instant changed_at;
  };
  struct RecentCrash {
    CrashId crash;
    base::Instant at;
  };

  static bool IsShared(const Row& row);
  static bool MeetsQuarantineCriteria(const Row& row);
  // Returns how long the quarantine lasts after the last crash; zero if the
  // request is not quarantined.
  static base::Duration QuarantinePeriod(const Row& row);
  static VerdictUntil Evaluate(const Row& row, base::Instant now);
  static RequestEvidence ToEvidence(base::RequestFingerprint fingerprint,
                                    const Row& row);
  static bool AddObservation(Row& row, const CrashObservation& observation);
  static bool AddRefuted(Row& row, const RefutedCrash& refuted);
  // Drops the earliest crash if there are too many. Returns whether `added` was
  // kept.
  static bool KeepLatest(Row& row, const CrashId& added);
  Row& FindOrAddRow(base::RequestFingerprint fingerprint);
  void EvictRow();
  void AddRecentCrash(const CrashId& crash, base::Instant at);
  // Counts recent crashes of the server that crashed in `latest`, without this
  // one and those in `row`.
  int CountOtherCrashes(const Row& row,
                        const CrashId& latest,
                        base::Instant now) const;
  // Discards the cached digest. Must be called with each change of the shared
  // evidence.
  void OnChanged() { digest_.reset(); }

  absl::flat_hash_map<base::RequestFingerprint, Row> rows_;
  mutable std::optional<uint64_t> digest_;  // Unset while outdated.
  std::deque<RecentCrash> recent_crashes_;  // Newest last.
  uint64_t lamport_clock_ = 0;  // Greatest Lamport time of all known crashes.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_LEDGER_H_
