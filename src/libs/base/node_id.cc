#include "base/node_id.h"

#include "absl/strings/str_format.h"
#include "base/text.h"

namespace chestnutport::base {

NodeId NodeId::Draw(Random& random) {
  NodeId id;
  while (id.value == 0)
    id.value = random();
  return id;
}

std::optional<NodeId> NodeId::Parse(std::string_view text) {
  NodeId id;
  if (text.size() != 16 || !ParseNumber(text, &id.value, 16))
    return std::nullopt;
  return id;
}

std::string NodeId::ToString() const {
  return absl::StrFormat("%016x", value);
}

}  // namespace chestnutport::base
