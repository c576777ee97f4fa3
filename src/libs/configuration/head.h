// The head of the confirmed configuration. The store holds one small head under
// one key, and immutable documents under the hash of their content. A
// confirmation first writes its documents and then replaces the head by one
// compare-and-swap. A configuration may thus exceed a megabyte while each value
// in the store stays small.
#ifndef CONFIGURATION_HEAD_H_
#define CONFIGURATION_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/history_entry.h"

namespace chestnutport::configuration {

// Maps services to the hashes of their documents.
using Manifest = std::map<std::string, std::string, std::less<>>;

// Limits of the history: the number of entries, and of changed services listed
// in all entries together. Older entries beyond the second limit keep operator
// and time but lose the list of services.
inline constexpr size_t kMaxHistoryEntries = 50;
inline constexpr size_t kMaxHistoryServices = 1000;

struct Head {
  uint64_t revision = 0;  // Zero before the first confirmation.
  Manifest manifest;
  std::vector<HistoryEntry> history;  // Oldest first.
  // JSON object with the fields that are unknown to this version, or empty.
  // They are written back unchanged.
  std::string unknown_fields;

  std::string ToJson() const;
  // Returns nothing if `text` is not a valid head.
  static std::optional<Head> FromJson(std::string_view text);

  // Returns the latest confirmation that was not overruled; null if there is
  // none.
  const HistoryEntry* LastConfirmation() const;
  // Returns the confirmation of a plan; null if it is not in the history or was
  // overruled.
  const HistoryEntry* FindPlan(std::string_view plan_id) const;
};

// Returns the head that follows `base` when `manifest` is confirmed. Sets the
// revision and the changed services of `confirmation`.
Head NextHead(const Head& base, Manifest manifest, HistoryEntry confirmation);

// Returns the manifest of an earlier revision, reconstructed from the history;
// nothing if the history does not reach back that far.
std::optional<Manifest> ManifestAt(const Head& head, uint64_t revision);

// Trims the history to kMaxHistoryEntries and kMaxHistoryServices.
void BoundHistory(std::vector<HistoryEntry>& history);

// Returns the key of a fleet's head in the store.
std::string HeadKey(std::string_view fleet);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_HEAD_H_
