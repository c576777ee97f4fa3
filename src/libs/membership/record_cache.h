// Decodes each record once. Records are immutable and may be shared.
#ifndef MEMBERSHIP_RECORD_CACHE_H_
#define MEMBERSHIP_RECORD_CACHE_H_

#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "membership/member_record.h"

namespace chestnutport::membership {

using SharedRecord = std::shared_ptr<const MemberRecord>;

class RecordCache {
 public:
  // Returns the decoded record, or null if `bytes` are not a valid record.
  SharedRecord Intern(std::string_view bytes);

  size_t size() const { return records_.size(); }

 private:
  void Prune();

  absl::flat_hash_map<uint64_t, SharedRecord> records_;
  size_t prune_at_ = 1024;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_RECORD_CACHE_H_
