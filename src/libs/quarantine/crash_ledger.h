// What a node knows of the requests that servers ran when they ended, by its own
// server and by what others tell, and the verdicts that follow. Pure: times are
// passed in.
//
// Each node keeps a ledger, and none is asked for leave. Ledgers that have heard
// the same, in any order and however often, hold the same and judge the same.
// docs/design/quarantine.md says how the figures were chosen.
#ifndef QUARANTINE_CRASH_LEDGER_H_
#define QUARANTINE_CRASH_LEDGER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/node_id.h"
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
  // the guilty one and what was retried beside it.
  static constexpr size_t kSuspectMarks = 2;
  static constexpr size_t kQuarantineMarks = 3;
  // The sum of the marks' surprise that a verdict takes besides: the chance that
  // servers ended so often under the request for other reasons is one in 30,000.
  static constexpr int kQuarantineSurprise = 45;
  // How long a quarantine holds after the last end; then the request is tried
  // again, as a suspect. A server that was mended serves it by then; one that
  // was not ends once in this time.
  static constexpr std::chrono::minutes kHold{10};
  // For how long ends are remembered, and what was refuted.
  static constexpr std::chrono::minutes kMemory{20};

  // Bounds of memory: about 1 MB. What has fewest marks, and is oldest, goes
  // first.
  static constexpr size_t kMostRequests = 4096;
  static constexpr size_t kMostMarks = 8;
  static constexpr size_t kMostEnds = 1024;
  // Requests in one answer to a node that asks: about 40 kB.
  static constexpr size_t kMostTold = 512;

  // This node's server ended. `peers`: the nodes beside servers of its service,
  // this one included. Returns what is known now of each request that it ran.
  std::vector<RequestEvidence> AddCrash(const ServerCrash& crash,
                                        std::span<const base::NodeId> peers,
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
  // speak against, and all that was refuted. Of more than kMostTold those with
  // the most marks.
  std::vector<RequestEvidence> Telling() const;
  // Equal in ledgers of which `Telling` is the same but for times.
  uint64_t digest() const;
  size_t size() const { return rows_.size(); }

 private:
  struct Row {
    std::vector<CrashMark> marks;  // The newest last.
    std::vector<CrashId> refuted;
    base::Instant changed_at;
  };
  struct End {
    CrashId crash;
    base::Instant at;
  };

  static bool IsTold(const Row& row);
  static VerdictUntil Judge(const Row& row, base::Instant now);
  static RequestEvidence ToEvidence(base::RequestFingerprint fingerprint,
                                    const Row& row);
  static bool AddMark(Row& row, const CrashMark& mark);
  static bool AddRefuted(Row& row, const CrashId& crash);
  Row& RowOf(base::RequestFingerprint fingerprint);
  void MakeRoom();
  void NoteEnd(const CrashId& crash, base::Instant at);
  // Ends of the peers' servers lately, but for those that are among the marks.
  size_t OtherEnds(const Row& row,
                   const CrashId& own,
                   std::span<const base::NodeId> peers,
                   base::Instant now) const;

  // After each change of what is told.
  void OnChanged() { digest_.reset(); }

  absl::flat_hash_map<base::RequestFingerprint, Row> rows_;
  mutable std::optional<uint64_t> digest_;  // Nothing: to be worked out anew.
  std::deque<End> ends_;  // The newest last.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_LEDGER_H_
