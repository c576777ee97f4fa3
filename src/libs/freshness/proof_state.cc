#include "freshness/proof_state.h"

#include <utility>

namespace chestnutport::freshness {

ProofChange ProofState::Update(base::BootInstant now,
                               base::BootInstant current_until) {
  if (now < current_until) {
    had_proof_ = true;
    return std::exchange(is_lost_, false) ? ProofChange::kRegained
                                          : ProofChange::kNone;
  }
  const bool is_starting = !had_proof_ && now - started_at_ < kStartGrace;
  if (is_starting || std::exchange(is_lost_, true))
    return ProofChange::kNone;
  return ProofChange::kLost;
}

}  // namespace chestnutport::freshness
