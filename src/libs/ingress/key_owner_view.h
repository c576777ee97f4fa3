// Finds the owners of idempotency keys among the servers of a service.
#ifndef INGRESS_KEY_OWNER_VIEW_H_
#define INGRESS_KEY_OWNER_VIEW_H_

#include <span>
#include <vector>

#include "keys/key_ownership.h"
#include "routing/server_candidate.h"
#include "routing/server_filter.h"

namespace chestnutport::ingress {

// Returns the nodes of `servers`, sorted by id so that equal views compare
// equal.
std::vector<keys::OwnerNode> ToOwnerNodes(
    std::span<const routing::ServerCandidate> servers);

// Returns the server, of those that `filter` admits, whose node owns the key,
// or null if there is none.
const routing::ServerCandidate* FindKeyOwner(
    uint64_t key_hash,
    std::span<const routing::ServerCandidate> servers,
    const routing::ServerFilter& filter = {});

}  // namespace chestnutport::ingress

#endif  // INGRESS_KEY_OWNER_VIEW_H_
