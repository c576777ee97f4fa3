// What the control thread tells the ingress about judging keys.
#ifndef FRESHNESS_KEY_POLICY_H_
#define FRESHNESS_KEY_POLICY_H_

#include <optional>

#include "base/boot_clock.h"

namespace chestnutport::freshness {

// Applies to the configuration that was published before it.
struct KeyPolicy {
  // A request with a key may be accepted if it arrives before this time, by the
  // boot clock. Nothing: the revocation time is not set, and keys are judged by
  // the configuration in force.
  std::optional<base::BootInstant> current_until;
  // Whether a newer revision than the one in force is known. A key that the one
  // in force lacks may be declared by the newer one.
  bool newer_revision_known = false;

  bool operator==(const KeyPolicy&) const = default;
};

}  // namespace chestnutport::freshness

#endif  // FRESHNESS_KEY_POLICY_H_
