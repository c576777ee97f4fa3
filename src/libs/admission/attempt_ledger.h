// Records the state of each attempt, so that no attempt runs twice, and none
// runs that was reported as never running.
//
// Memory is bounded. When the record of an attempt is dropped, the highest
// dropped sequence number of its origin is kept. An attempt without a record,
// at or below that number, may have been dropped: it is not run, and its
// outcome is reported as unknown.
#ifndef ADMISSION_ATTEMPT_LEDGER_H_
#define ADMISSION_ATTEMPT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "absl/container/flat_hash_map.h"
#include "admission/attempt_state.h"
#include "base/attempt_id.h"
#include "base/time.h"

namespace chestnutport::admission {

struct LedgerLimits {
  // How long the record of an attempt that finished or never runs is kept.
  base::Duration retention = std::chrono::minutes(2);
  size_t max_finished = 65536;  // The oldest records are dropped above this.
  // How long the highest dropped sequence number of an idle origin is kept.
  base::Duration origin_retention = std::chrono::hours(24);
  size_t origins = 32768;
};

class AttemptLedger {
 public:
  explicit AttemptLedger(const LedgerLimits& limits) : limits_(limits) {}

  // Returns kUnknown if there is no record.
  AttemptState Find(const base::AttemptId& attempt) const;

  // Returns whether an attempt without a record has certainly not been seen
  // before. Also returns false if the table of origins is full.
  bool IsNew(const base::AttemptId& attempt, base::Instant now);

  // Records a state. Records of kQueued and kRunning are never dropped.
  void Set(const base::AttemptId& attempt,
           AttemptState state,
           base::Instant now);

  // Drops expired records, oldest first. The cost is linear in the number of
  // records dropped.
  void Expire(base::Instant now);

  size_t records() const { return records_.size(); }
  size_t origins() const { return origins_.size(); }

 private:
  struct FinishedRecord {
    base::AttemptId attempt;
    base::Instant since;
  };
  struct Origin {
    uint64_t highest_dropped_sequence = 0;  // 0 if no record was dropped.
    base::Instant last_seen;
  };

  void DropOldest();
  void ExpireIdleOrigins(base::Instant now);

  LedgerLimits limits_;
  absl::flat_hash_map<base::AttemptId, AttemptState> records_;
  std::deque<FinishedRecord> finished_;
  absl::flat_hash_map<uint64_t, Origin> origins_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_ATTEMPT_LEDGER_H_
