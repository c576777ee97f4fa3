// Identifies one crash of one server.
#ifndef QUARANTINE_CRASH_ID_H_
#define QUARANTINE_CRASH_ID_H_

#include <compare>
#include <cstdint>
#include <utility>

#include "base/node_id.h"

namespace chestnutport::quarantine {

struct CrashId {
  base::NodeId node;  // The node beside the server.
  uint32_t life = 0;  // Incarnation number, counted by that node.

  // The linter takes the zero inside the defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const CrashId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const CrashId& id) {
    return H::combine(std::move(state), id.node, id.life);
  }
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_ID_H_
