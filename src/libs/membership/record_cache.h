// Decodes each record once. Records are immutable and may be shared.
#ifndef MEMBERSHIP_RECORD_CACHE_H_
#define MEMBERSHIP_RECORD_CACHE_H_

#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "membership/member_record.h"

namespace chestnutport::membership {

// The cache and the member table hold the same record.
using SharedRecord = std::shared_ptr<const MemberRecord>;

class RecordCache {
 public:
  // The record of `bytes`; null if they are none.
  SharedRecord Intern(std::string_view bytes);

  size_t size() const { return records_.size(); }

 private:
  void Prune();

  absl::flat_hash_map<uint64_t, SharedRecord> records_;
  size_t prune_at_ = 1024;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_RECORD_CACHE_H_
