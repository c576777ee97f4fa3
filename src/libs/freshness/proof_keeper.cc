#include "freshness/proof_keeper.h"

#include <algorithm>

namespace chestnutport::freshness {

void ProofKeeper::OnStoreRead(uint64_t revision, base::BootInstant asked_at) {
  Add({revision, asked_at});
}

void ProofKeeper::OnPeerAnswer(uint64_t revision,
                               base::Duration age,
                               base::BootInstant asked_at) {
  // Older proofs are of no use, and subtracting their age might overflow.
  if (age < base::Duration::zero() || age > window_) {
    greatest_revision_ = std::max(greatest_revision_, revision);
    return;
  }
  Add({revision, asked_at - age});
}

void ProofKeeper::Add(const ConfigurationProof& proof) {
  greatest_revision_ = std::max(greatest_revision_, proof.revision);
  const bool is_useless =
      std::ranges::any_of(proofs_, [&](const ConfigurationProof& held) {
        return held.revision <= proof.revision &&
               held.valid_at >= proof.valid_at;
      });
  if (is_useless)
    return;
  std::erase_if(proofs_, [&](const ConfigurationProof& held) {
    return held.revision >= proof.revision && held.valid_at <= proof.valid_at;
  });
  const auto next = std::ranges::upper_bound(proofs_, proof.revision, {},
                                             &ConfigurationProof::revision);
  proofs_.insert(next, proof);
  if (proofs_.size() > kMaxProofs)
    proofs_.erase(proofs_.begin());
}

base::BootInstant ProofKeeper::CurrentUntil(uint64_t own_revision) const {
  const auto proof = ProofOf(own_revision);
  return proof ? proof->valid_at + window_ : base::BootInstant::min();
}

std::optional<ConfigurationProof> ProofKeeper::ProofOf(
    uint64_t own_revision) const {
  const auto newer = std::ranges::upper_bound(proofs_, own_revision, {},
                                              &ConfigurationProof::revision);
  if (newer == proofs_.begin())
    return std::nullopt;
  return *(newer - 1);
}

std::optional<ConfigurationProof> ProofKeeper::Latest() const {
  if (proofs_.empty())
    return std::nullopt;
  return proofs_.back();
}

}  // namespace chestnutport::freshness
