#include "base/attempt_id.h"

#include "absl/strings/str_format.h"
#include "base/text.h"

namespace chestnutport::base {

std::optional<AttemptId> AttemptId::Parse(std::string_view text) {
  const size_t dash = text.find('-');
  if (dash == std::string_view::npos)
    return std::nullopt;
  AttemptId id;
  if (!ParseNumber(text.substr(0, dash), &id.origin, 16) ||
      !ParseNumber(text.substr(dash + 1), &id.sequence, 16)) {
    return std::nullopt;
  }
  return id;
}

std::string AttemptId::ToString() const {
  return absl::StrFormat("%016x-%x", origin, sequence);
}

}  // namespace chestnutport::base
