// Decides when the loss or the return of the proof is reported.
#ifndef FRESHNESS_PROOF_STATE_H_
#define FRESHNESS_PROOF_STATE_H_

#include "base/boot_clock.h"
#include "base/time.h"

namespace chestnutport::freshness {

enum class ProofChange { kNone, kLost, kRegained };

class ProofState {
 public:
  // A node that has started lacks a proof until its first read or answer, which
  // is reported only if it takes longer than this.
  static constexpr base::Duration kStartGrace = std::chrono::seconds(5);

  explicit ProofState(base::BootInstant started_at) : started_at_(started_at) {}

  // Returns what has to be reported now, given until when the proof is valid.
  ProofChange Update(base::BootInstant now, base::BootInstant current_until);

 private:
  base::BootInstant started_at_;
  bool had_proof_ = false;
  bool is_lost_ = false;  // As reported.
};

}  // namespace chestnutport::freshness

#endif  // FRESHNESS_PROOF_STATE_H_
