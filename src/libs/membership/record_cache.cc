#include "membership/record_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chestnutport::membership {

SharedRecord RecordCache::Intern(std::string_view bytes) {
  const uint64_t key = XXH3_64bits(bytes.data(), bytes.size());
  const auto found = records_.find(key);
  if (found != records_.end() && found->second->bytes == bytes)
    return found->second;
  auto decoded = MemberRecord::Decode(bytes);
  if (!decoded)
    return nullptr;
  if (records_.size() >= prune_at_)
    Prune();
  auto record = std::make_shared<const MemberRecord>(*std::move(decoded));
  records_[key] = record;
  return record;
}

void RecordCache::Prune() {
  absl::erase_if(records_,
                 [](const auto& item) { return item.second.use_count() == 1; });
  prune_at_ = std::max<size_t>(1024, 2 * records_.size());
}

}  // namespace chestnutport::membership
