// The entry of the store that names the allocator of rate limits.
#ifndef LIMITS_ALLOCATOR_ENTRY_H_
#define LIMITS_ALLOCATOR_ENTRY_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/node_id.h"
#include "base/socket_address.h"

namespace chestnutport::limits {

// Key of the entry, after the prefix of the fleet.
inline constexpr std::string_view kAllocatorKey = "limits/allocator";

using StoreLease = int64_t;  // Zero: none.

// The store removes the entry when `lease` ends. An entry without a lease stays
// and has no allocator: its author was displacing another one, or handed over.
struct AllocatorEntry {
  base::NodeId holder;
  base::SocketAddress vm;
  // The revision with which the holder acquired authority; zero if it is that
  // of the entry itself.
  uint64_t epoch = 0;
  StoreLease lease = 0;
  // The lease of the allocator that was displaced; zero once it is known to
  // have ended.
  StoreLease displaced_lease = 0;
  bool is_handed_over = false;  // The author does not continue.
  // VMs that may hold leases of this allocator or of those before.
  std::set<base::SocketAddress> roster;

  std::string Encode() const;  // The value of the entry.
  static std::optional<AllocatorEntry> Decode(std::string_view bytes);

  bool operator==(const AllocatorEntry&) const = default;
};

}  // namespace chestnutport::limits

#endif  // LIMITS_ALLOCATOR_ENTRY_H_
