// Repairs a store that holds an older configuration than a node, for example
// after it was restored from a backup.
#ifndef CONFIGURATION_REPAIR_H_
#define CONFIGURATION_REPAIR_H_

#include <optional>

#include "configuration/head.h"

namespace chestnutport::configuration {

// Returns the head to write in place of `stored`, or nothing if `stored` needs
// no repair. The newer revision wins. Two different heads of the same revision
// are merged into the next revision, with the content of the later
// confirmation. Confirmations that lose stay in the history, marked as
// overruled.
std::optional<Head> RepairStore(const Head& stored, const Head& local);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_REPAIR_H_
