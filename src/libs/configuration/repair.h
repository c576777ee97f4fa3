// What to do about a store that holds less than a node does, as after it was
// brought back from an older copy.
#ifndef CONFIGURATION_REPAIR_H_
#define CONFIGURATION_REPAIR_H_

#include <optional>

#include "configuration/head.h"

namespace chestnutport::configuration {

// The head to write over `stored`; nothing if `stored` is right. The newer
// revision stands. Two different heads of one revision become one of the next,
// with the content of the later confirmation. A confirmation that gives way is
// kept in the history, marked as overruled.
std::optional<Head> RepairStore(const Head& stored, const Head& local);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_REPAIR_H_
