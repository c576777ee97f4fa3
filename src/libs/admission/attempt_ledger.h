// Remembers what became of each attempt, so that none runs twice and none that
// was said not to run ever runs.
//
// Memory is bounded, yet forgetting is safe: when the record of an attempt is
// dropped, the highest dropped sequence number of its origin is kept. An
// attempt at or below that mark without a record may be one that was dropped:
// it is not run, and nothing is claimed about it.
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
  // How long an end is remembered by a record of its own.
  base::Duration retention = std::chrono::minutes(2);
  size_t max_finished =
      65536;  // Records of ends; the oldest are dropped above it.
  // How long the mark of an origin that went quiet is kept, and how many.
  base::Duration origin_retention = std::chrono::hours(24);
  size_t origins = 32768;
};

class AttemptLedger {
 public:
  explicit AttemptLedger(const LedgerLimits& limits) : limits_(limits) {}

  // kUnknown if there is no record.
  AttemptState Find(const base::AttemptId& attempt) const;

  // Whether an attempt without a record may be taken for one that was never
  // here. False also if there is no room for the mark of its origin.
  bool IsNew(const base::AttemptId& attempt, base::Instant now);

  // Records a state. Records of kQueued and kRunning are never dropped.
  void Set(const base::AttemptId& attempt,
           AttemptState state,
           base::Instant now);

  // Drops ends that are old, oldest first: the cost is that of the drops.
  void Expire(base::Instant now);

  size_t records() const { return records_.size(); }
  size_t origins() const { return origins_.size(); }

 private:
  struct End {
    base::AttemptId attempt;
    base::Instant since;
  };
  struct Origin {
    uint64_t highest_dropped_sequence = 0;  // Zero: nothing was dropped.
    base::Instant last_seen;
  };

  void DropOldest();
  void ExpireIdleOrigins(base::Instant now);

  LedgerLimits limits_;
  absl::flat_hash_map<base::AttemptId, AttemptState> records_;
  std::deque<End> finished_;
  absl::flat_hash_map<uint64_t, Origin> origins_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_ATTEMPT_LEDGER_H_
