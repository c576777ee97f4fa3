// Differences between two configurations, per key.
#ifndef CONFIGURATION_CHANGE_H_
#define CONFIGURATION_CHANGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/documents.h"
#include "configuration/head.h"

namespace chestnutport::configuration {

enum class ChangeKind { kAdded, kChanged, kRemoved };

std::string_view ToString(ChangeKind kind);

struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  std::string service;
  std::string section;  // Empty if the whole service is concerned.
  std::string key;
  std::string before;
  std::string after;
};

// A change and the confirmation that made it.
struct ConfirmedChange {
  Change change;
  uint64_t revision = 0;
  std::string confirmed_by;
  std::string confirmed_at;
};

// Returns the differences between two declarations of one service, per key. A
// null text means that the service does not exist. Of tenants' keys, only the
// beginnings of their digests are returned. A text that is not INI is compared
// as a whole, because it may contain keys.
std::vector<Change> CompareTexts(const std::string& service,
                                 const std::string* before,
                                 const std::string* after);

// Returns the changes confirmed after `revision`, as far back as the history
// reaches, in the order of their revisions. A confirmation's changes to a
// service are listed per key if `documents` holds the service's texts before
// and after it; otherwise they are returned as one change of the whole service.
std::vector<ConfirmedChange> ChangesSince(const Head& head,
                                          const Documents& documents,
                                          uint64_t revision);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_CHANGE_H_
