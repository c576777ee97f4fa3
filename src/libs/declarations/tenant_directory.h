// The declared tenants, indexed by the digests of their keys. A lookup hashes
// the key once, so its time depends neither on the number of tenants nor on how
// much of a guessed key is right.
#ifndef DECLARATIONS_TENANT_DIRECTORY_H_
#define DECLARATIONS_TENANT_DIRECTORY_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "declarations/key_digest.h"
#include "declarations/tenant_account.h"

namespace chestnutport::declarations {

class TenantDirectory {
 public:
  TenantDirectory() = default;
  // Of several accounts with one key or one name, the first is found.
  explicit TenantDirectory(std::vector<TenantAccount> accounts);

  bool empty() const { return accounts_.empty(); }
  // Both return null if there is no such account.
  const TenantAccount* FindByKey(std::string_view key) const;
  const TenantAccount* Find(std::string_view name) const;
  const std::vector<TenantAccount>& accounts() const { return accounts_; }

 private:
  std::vector<TenantAccount> accounts_;
  // Indices of `accounts_`.
  absl::flat_hash_map<KeyDigest, size_t> by_key_;
  absl::flat_hash_map<std::string, size_t> by_name_;
};

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_TENANT_DIRECTORY_H_
