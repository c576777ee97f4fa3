// Names one life of one node process.
#ifndef BASE_NODE_ID_H_
#define BASE_NODE_ID_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/random.h"

namespace chestnutport::base {

// Drawn at random at each start, so that a process that reuses an address is
// never taken for the one that was there before.
struct NodeId {
  uint64_t value = 0;  // Zero: no node.

  static NodeId Draw(Random& random);
  static std::optional<NodeId> Parse(std::string_view text);
  std::string ToString() const;  // Sixteen hexadecimal digits.

  // The linter takes the zero inside the defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const NodeId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const NodeId& id) {
    return H::combine(std::move(state), id.value);
  }
};

}  // namespace chestnutport::base

#endif  // BASE_NODE_ID_H_
