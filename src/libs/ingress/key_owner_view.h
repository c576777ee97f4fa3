// The nodes among which the owners of a service's idempotency keys are found.
#ifndef INGRESS_KEY_OWNER_VIEW_H_
#define INGRESS_KEY_OWNER_VIEW_H_

#include <span>
#include <vector>

#include "keys/key_ownership.h"
#include "routing/server_candidate.h"
#include "routing/server_filter.h"

namespace chestnutport::ingress {

// In the order of their ids, so that equal views compare equal.
std::vector<keys::OwnerNode> ToOwnerNodes(
    std::span<const routing::ServerCandidate> servers);

// The server whose node owns the key, of those that the filter admits; null if
// there is none.
const routing::ServerCandidate* FindKeyOwner(
    uint64_t key_hash,
    std::span<const routing::ServerCandidate> servers,
    const routing::ServerFilter& filter = {});

}  // namespace chestnutport::ingress

#endif  // INGRESS_KEY_OWNER_VIEW_H_
