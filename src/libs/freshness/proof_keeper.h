// Holds the proofs that this node's configuration is current, and decides until
// when the node may accept keys.
//
// Safety: the store is linearizable, so a read that was sent at time s and
// found revision r shows that every configuration acknowledged before s has at
// most revision r. A node with revision r or higher in force therefore lacks
// only configurations that were acknowledged at s or later. If it accepts no
// key that arrives one revocation time after s or later, each accepted request
// was sent less than the revocation time after the acknowledgement of any
// configuration that the node lacks. This holds whatever the delay of the
// response, so only the time at which a read or a query was sent counts, never
// that of the response.
#ifndef FRESHNESS_PROOF_KEEPER_H_
#define FRESHNESS_PROOF_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/boot_clock.h"
#include "base/time.h"
#include "freshness/configuration_proof.h"

namespace chestnutport::freshness {

// Subtracted from the revocation time. Ages are measured by the clocks of
// several VMs, which run at slightly different rates (up to 500 ppm while
// they are adjusted, 2.5 ms in 5 s), and the sender of a request measures with
// a clock of its own. 50 ms covers a difference of 1% over 5 s.
inline constexpr std::chrono::milliseconds kClockMargin(50);

class ProofKeeper {
 public:
  // `revocation_time` is more than kClockMargin.
  explicit ProofKeeper(base::Duration revocation_time)
      : window_(revocation_time - kClockMargin) {}

  // A read of the store that was sent at `asked_at` found `revision`. For a
  // watch that ended without a change, the revision is the one found before it.
  void OnStoreRead(uint64_t revision, base::BootInstant asked_at);
  // A peer that was asked at `asked_at` answered that the age of its proof of
  // `revision` was `age`. The peer measured the age after it received the
  // query, so the proof was valid no earlier than at `asked_at - age`.
  void OnPeerAnswer(uint64_t revision,
                    base::Duration age,
                    base::BootInstant asked_at);

  // Returns the end of the time in which a node with `own_revision` in force
  // may accept keys; BootInstant::min() without a proof. Proofs of newer
  // revisions do not count until these are in force.
  base::BootInstant CurrentUntil(uint64_t own_revision) const;
  // Returns the latest proof that covers `own_revision`.
  std::optional<ConfigurationProof> ProofOf(uint64_t own_revision) const;
  // Returns the latest proof of any revision, for answers to peers.
  std::optional<ConfigurationProof> Latest() const;
  // Returns the greatest revision of any read or answer, expired or not; zero
  // if there was none.
  uint64_t greatest_revision() const { return greatest_revision_; }

 private:
  // Limit on the proofs kept. More than one is kept only while newer revisions
  // than the one in force are known.
  static constexpr size_t kMaxProofs = 32;

  void Add(const ConfigurationProof& proof);

  base::Duration window_;
  // In the order of both revisions and times: of two proofs, one that is
  // neither of a lower revision nor later is useless.
  std::vector<ConfigurationProof> proofs_;
  uint64_t greatest_revision_ = 0;
};

}  // namespace chestnutport::freshness

#endif  // FRESHNESS_PROOF_KEEPER_H_
