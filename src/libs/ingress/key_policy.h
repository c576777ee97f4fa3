// Whether this node can judge keys, and what happens to a request by its key.
#ifndef INGRESS_KEY_POLICY_H_
#define INGRESS_KEY_POLICY_H_

#include <optional>

#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "ingress/call_origin.h"
#include "ingress/key_check.h"

namespace chestnutport::ingress {

struct KeyPolicy {
  // A newer revision than the one in force is known.
  bool is_behind = false;
  // Until when requests that need a key may be judged by the configuration in
  // force; without a limit if not set.
  std::optional<base::BootInstant> current_until;
  // Until when the local server may run requests that an earlier run of this
  // node sent to it; not set if the server started after this node.
  std::optional<base::BootInstant> earlier_requests_until;

  // Returns the error to answer with, or nothing if the request is accepted. A
  // nested call has no key.
  std::optional<base::ErrorKind> FindError(KeyCheck check,
                                           CallOrigin origin,
                                           base::BootInstant now) const;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_KEY_POLICY_H_
