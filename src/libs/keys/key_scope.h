// The scope of an idempotency key, and the fingerprint of its request.
#ifndef KEYS_KEY_SCOPE_H_
#define KEYS_KEY_SCOPE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "net/http_message.h"

namespace chestnutport::keys {

// Keys of different tenants or services are different, even if they are spelt
// alike.
struct KeyScope {
  std::string service;
  std::string tenant;
  std::string key;

  // Returns a hash that is equal on all nodes and determines the key's owner.
  uint64_t Hash() const;

  auto operator<=>(const KeyScope&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const KeyScope& scope) {
    return H::combine(std::move(state), scope.service, scope.tenant, scope.key);
  }
};

// Returns a hash of method, target and body. Detects a key that is reused for
// another request by mistake, but is no protection against a caller that
// constructs a collision with its own request.
uint64_t Fingerprint(const net::HttpRequest& request);

}  // namespace chestnutport::keys

#endif  // KEYS_KEY_SCOPE_H_
