// Entries of the platform's key-value store.
#ifndef STORE_STORE_ENTRY_H_
#define STORE_STORE_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutport::store {

using LeaseId = int64_t;  // Zero means no lease.

struct StoreEntry {
  std::string key;
  std::string value;     // Also empty if it could not be decoded.
  int64_t revision = 0;  // Of the last change; zero if the key does not exist.
  LeaseId lease = 0;     // Lease with which the entry expires.
};

// A page of a listing.
struct StorePage {
  std::vector<StoreEntry> entries;
  int without_key = 0;  // Entries omitted because their keys are unreadable.
  bool has_more = false;
  int64_t as_of = 0;  // The store's revision; zero if unknown.
};

// Changes of the keys with a prefix.
struct StoreChanges {
  std::vector<StoreEntry> changed;  // In the order of the writes.
  int removed = 0;                  // Number of keys deleted.
  int64_t as_of = 0;                // Where the next watch starts.
  bool changes_missed = false;      // The keys have to be listed again.
};

// Whether a listing may be stale. One that may be seconds old is cheaper.
enum class Freshness { kLatest, kMayBeStale };

}  // namespace chestnutport::store

#endif  // STORE_STORE_ENTRY_H_
