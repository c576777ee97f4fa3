// What a node knows of the requests that servers ran when they ended, by its
// own server and by what others tell, and the verdicts that follow. Pure: times
// are passed in.
//
// Each node keeps a ledger, and none is asked for leave. Ledgers that have
// heard the same, in any order and however often, hold the same and judge the
// same. docs/design/quarantine.md says how the figures were chosen.
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
  // Ends with which a request is a suspect, and with which it may be
  // quarantined. At one end all that ran are alike; those that ran at two are
  // the guilty one and what was retried beside it. So one of the ends for a
  // quarantine has to be of a server that ran no other suspect.
  static constexpr size_t kSuspicionThreshold = 2;
  static constexpr size_t kQuarantineThreshold = 3;
  // The sum of the marks' surprise that a verdict takes besides: the chance
  // that servers ended three times in such a time for other reasons is one in
  // 250,000. For each further mark it takes more, as what runs for long gets
  // some from each of many ends by chance.
  static constexpr int kQuarantineSurprisal = 54;
  static constexpr int kSurprisalPerExtraCrash = 6;
  // How long a quarantine holds after the last end; then the request is tried
  // again, as a suspect. Three ends may come within a third of a second, with
  // two guilty requests at once: an innocent one that was beside them is
  // answered when it is tried. A server that ended is back by then, and most
  // are warm.
  static constexpr std::chrono::seconds kFirstQuarantinePeriod{5};
  // The same with one end more. A server that was mended serves the request by
  // then; one that was not ends once in this time.
  static constexpr std::chrono::minutes kQuarantinePeriod{10};
  // For how long ends are remembered, and what was refuted.
  static constexpr std::chrono::minutes kRetention{20};

  // Bounds of memory: about 1 MB. What has fewest marks, and is oldest, goes
  // first.
  static constexpr size_t kMaxRequests = 4096;
  // Ends of a request, refuted or not: the latest by their order, which is the
  // same on all nodes, so that these hold the same ones. By the times at which
  // nodes heard of them they would tell each other of ever different ones.
  static constexpr size_t kMaxCrashesPerRequest = 8;
  static constexpr size_t kMaxRecentCrashes = 1024;
  // Requests in one answer to a node that asks: about 40 kB.
  static constexpr size_t kMaxSharedRequests = 512;

  // This node's server ended. Returns what is known now of each request that it
  // ran.
  std::vector<RequestEvidence> AddCrash(const ServerCrash& crash,
                                        base::Instant now);
  // What another node knows. Returns whether anything of it was new.
  bool Merge(const RequestEvidence& heard, base::Instant now);
  // What is known against the request counts no more: a server answered it, or
  // an operator says so. Returns what is to be told; nothing if nothing was
  // known.
  std::optional<RequestEvidence> Refute(base::RequestFingerprint fingerprint,
                                        base::Instant now);
  // Forgets what is too old.
  void Expire(base::Instant now);

  VerdictUntil VerdictOf(base::RequestFingerprint fingerprint,
                         base::Instant now) const;
  // Of all requests that are not free.
  Verdicts AllVerdicts(base::Instant now) const;

  // Nothing if nothing is known.
  std::optional<RequestEvidence> Find(
      base::RequestFingerprint fingerprint) const;
  // What a node that knows nothing has to be told: all that two ends or more
  // speak against, and all that was refuted. Of more than kMaxSharedRequests
  // those with the most marks.
  std::vector<RequestEvidence> SharedEvidence() const;
  // Equal in ledgers of which `SharedEvidence` is the same but for times.
  uint64_t digest() const;
  size_t size() const { return rows_.size(); }

 private:
  struct Row {
    // Both by their order, the latest last.
    std::vector<CrashObservation> crashes;
    std::vector<RefutedCrash> refuted;
    base::Instant changed_at;
  };
  struct End {
    CrashId crash;
    base::Instant at;
  };

  static bool IsTold(const Row& row);
  static bool IsProved(const Row& row);
  // Zero: it is not held.
  static base::Duration HoldOf(const Row& row);
  static VerdictUntil Evaluate(const Row& row, base::Instant now);
  static RequestEvidence ToEvidence(base::RequestFingerprint fingerprint,
                                    const Row& row);
  static bool AddMark(Row& row, const CrashObservation& mark);
  static bool AddRefuted(Row& row, const RefutedCrash& end);
  // Drops the earliest end if there are too many; whether `added` stays.
  static bool KeepLatest(Row& row, const CrashId& added);
  Row& RowOf(base::RequestFingerprint fingerprint);
  void MakeRoom();
  void NoteEnd(const CrashId& crash, base::Instant at);
  // Ends lately of the same server as `latest`, but for those among the marks.
  int OtherEnds(const Row& row, const CrashId& latest, base::Instant now) const;
  // After each change of what is told.
  void OnChanged() { digest_.reset(); }

  absl::flat_hash_map<base::RequestFingerprint, Row> rows_;
  mutable std::optional<uint64_t> digest_;  // Nothing: to be worked out anew.
  std::deque<End> ends_;                    // The newest last.
  uint64_t latest_order_ = 0;               // Of all ends heard of.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_LEDGER_H_
