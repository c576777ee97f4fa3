// An entry of the platform's key-value service.
#ifndef STORE_STORE_ENTRY_H_
#define STORE_STORE_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutport::store {

struct StoreEntry {
  std::string key;
  std::string value;     // Empty also if it could not be read.
  int64_t revision = 0;  // Of the entry's last change; zero: no such key.
};

// A part of a listing.
struct StorePage {
  std::vector<StoreEntry> entries;
  int without_key = 0;  // Entries that were left out for it.
  bool has_more = false;
  int64_t as_of = 0;  // The store's revision; zero: it was not said.
};

// What happened to the keys with a prefix.
struct StoreChanges {
  std::vector<StoreEntry> changed;  // As written, in order.
  int removed = 0;                  // Keys that were there before.
  int64_t as_of = 0;                // Where to go on from.
  bool changes_missed = false;      // Changes were missed: list again.
};

// Whether a listing has to be of now: one that may be seconds old is cheaper.
enum class Freshness { kLatest, kMayBeStale };

using LeaseId = int64_t;  // Zero: no lease.

}  // namespace chestnutport::store

#endif  // STORE_STORE_ENTRY_H_
