// The control call node.drain, which forwards an operator's drain request to
// the node that it names.
#ifndef OPERATORS_DRAIN_REQUEST_H_
#define OPERATORS_DRAIN_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::operators {

inline constexpr char kDrainMethod[] = "node.drain";

struct DrainRequest {
  bool draining = true;  // False ends the drain.

  std::string ToJson() const;
  static std::optional<DrainRequest> FromJson(std::string_view text);
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_DRAIN_REQUEST_H_
