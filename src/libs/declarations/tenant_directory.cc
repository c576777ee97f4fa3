#include "declarations/tenant_directory.h"

#include <utility>

#include "base/text.h"

namespace chestnutport::declarations {

TenantDirectory::TenantDirectory(std::vector<TenantAccount> accounts)
    : accounts_(std::move(accounts)) {
  for (size_t i = 0; i < accounts_.size(); ++i) {
    by_name_.emplace(accounts_[i].name, i);
    for (const KeyDigest& key : accounts_[i].keys)
      by_key_.emplace(key, i);
  }
}

const TenantAccount* TenantDirectory::FindByKey(std::string_view key) const {
  const auto found = by_key_.find(KeyDigest::Of(key));
  return found == by_key_.end() ? nullptr : &accounts_[found->second];
}

const TenantAccount* TenantDirectory::Find(std::string_view name) const {
  const auto found = by_name_.find(base::AbslView(name));
  return found == by_name_.end() ? nullptr : &accounts_[found->second];
}

}  // namespace chestnutport::declarations
