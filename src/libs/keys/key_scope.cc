#include "keys/key_scope.h"

#include "absl/strings/str_format.h"
#include "base/part_hash.h"

namespace chestnutport::keys {

uint64_t KeyScope::Hash() const {
  return base::HashParts({service, tenant, key});
}

uint64_t Fingerprint(const net::HttpRequest& request) {
  return base::HashParts({request.method, request.target,
                          absl::StrFormat("%016x", request.body.hash())});
}

}  // namespace chestnutport::keys
