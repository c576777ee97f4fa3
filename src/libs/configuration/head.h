// The confirmed configuration as it lies in the store: one small head under
// one key, and immutable documents under the hash of their content. A
// confirmation writes its documents first and then the head, by one
// compare-and-swap; so a configuration may pass a megabyte while every value
// stays small.
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

// The hash of each service's document.
using Manifest = std::map<std::string, std::string, std::less<>>;

// Confirmations that a head remembers, and the services that they may name
// altogether; older confirmations keep who and when but lose what.
inline constexpr size_t kMaxHistoryEntries = 50;
inline constexpr size_t kMaxHistoryServices = 1000;

struct Head {
  uint64_t revision = 0;  // Zero: nothing was ever confirmed.
  Manifest manifest;
  std::vector<HistoryEntry> history;  // The oldest first.
  // A JSON object with the fields that this version does not know; they are
  // written back as they were.
  std::string unknown_fields;

  std::string ToJson() const;
  // Nothing if `text` is no head.
  static std::optional<Head> FromJson(std::string_view text);

  // The confirmation that made this revision; null if there was none.
  const HistoryEntry* LastConfirmation() const;
  // The confirmation of a plan, if it is remembered and stands.
  const HistoryEntry* FindPlan(std::string_view plan_id) const;
};

// The head that follows `base` once `manifest` is confirmed. The entry's
// revision and what it changed are filled in here.
Head NextHead(const Head& base, Manifest manifest, HistoryEntry confirmation);

// The manifest of an earlier revision, worked back through the history;
// nothing if the history does not reach that far.
std::optional<Manifest> ManifestAt(const Head& head, uint64_t revision);

// Forgets what is beyond kMaxHistoryEntries and kMaxHistoryServices.
void BoundHistory(std::vector<HistoryEntry>& history);

// The key of a fleet's head in the store.
std::string HeadKey(std::string_view fleet);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_HEAD_H_
