// Store calls of the election of the allocator of rate limits, and their
// results.
#ifndef LIMITS_STORE_OPERATION_H_
#define LIMITS_STORE_OPERATION_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/boot_clock.h"
#include "limits/allocator_entry.h"

namespace chestnutport::limits {

enum class StoreOperationKind {
  kReadEntry,       // Of the store's present state, not a stale read.
  kGrantLease,      // For `lease_time`.
  kWriteEntry,      // With `entry.lease`, if the revision is `revision`.
  kKeepLeaseAlive,  // Renews `lease`.
  kEndLease,        // Ends `lease`.
};

// One store call. It should be given up after half a second. A call that was
// given up may still take effect.
struct StoreOperation {
  uint64_t id = 0;
  StoreOperationKind kind = StoreOperationKind::kReadEntry;
  AllocatorEntry entry;
  int64_t revision = 0;  // Zero: the entry must not exist.
  StoreLease lease = 0;
  std::chrono::nanoseconds lease_time{};
};

enum class StoreStatus {
  kDone,
  kConflict,  // The revision differs, or the lease does not exist.
  kFailed,    // Not known to have taken effect.
};

struct StoreOperationResult {
  uint64_t id = 0;  // Of the operation.
  StoreStatus status = StoreStatus::kFailed;
  base::BootInstant sent_at;
  // Read; nothing if it does not exist or cannot be decoded.
  std::optional<AllocatorEntry> entry;
  int64_t revision = 0;  // Of the entry read or written; zero if none exists.
  StoreLease lease = 0;  // Granted.
};

}  // namespace chestnutport::limits

#endif  // LIMITS_STORE_OPERATION_H_
