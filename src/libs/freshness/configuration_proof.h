// A statement of the store about its newest configuration.
#ifndef FRESHNESS_CONFIGURATION_PROOF_H_
#define FRESHNESS_CONFIGURATION_PROOF_H_

#include <cstdint>

#include "base/boot_clock.h"

namespace chestnutport::freshness {

// At `valid_at`, by this VM's boot clock, the store had acknowledged no
// configuration newer than `revision`.
struct ConfigurationProof {
  uint64_t revision = 0;
  base::BootInstant valid_at;
};

}  // namespace chestnutport::freshness

#endif  // FRESHNESS_CONFIGURATION_PROOF_H_
