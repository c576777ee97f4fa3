// The control call node.drain, by which an operator's wish is forwarded.
#ifndef OPERATORS_DRAIN_REQUEST_H_
#define OPERATORS_DRAIN_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::operators {

inline constexpr char kDrainMethod[] = "node.drain";

struct DrainRequest {
  bool draining = true;  // False: take new work again.

  std::string ToJson() const;
  static std::optional<DrainRequest> FromJson(std::string_view text);
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_DRAIN_REQUEST_H_
