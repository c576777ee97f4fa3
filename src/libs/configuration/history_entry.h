// One confirmation in the history of a head.
#ifndef CONFIGURATION_HISTORY_ENTRY_H_
#define CONFIGURATION_HISTORY_ENTRY_H_

#include <cstdint>
#include <map>
#include <string>

namespace chestnutport::configuration {

struct HistoryEntry {
  uint64_t revision = 0;
  std::string plan_id;
  std::string confirmed_by;  // Name of the operator.
  std::string confirmed_at;  // UTC, as 2026-01-31T12:00:00Z.
  // Maps the changed services to the hashes of their previous documents; an
  // empty hash means that the service was added.
  std::map<std::string, std::string, std::less<>> changed;
  bool forgotten = false;  // `changed` was dropped to limit the head's size.
  // Whether the confirmation was superseded by another head when the store was
  // repaired, for example on a store that had been restored from an older
  // backup; see RepairStore().
  bool overruled = false;
  std::string unknown_fields;  // As in Head.

  bool operator==(const HistoryEntry&) const = default;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_HISTORY_ENTRY_H_
