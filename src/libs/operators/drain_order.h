// The control call node.drain, by which an operator's wish is forwarded.
#ifndef OPERATORS_DRAIN_ORDER_H_
#define OPERATORS_DRAIN_ORDER_H_

#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::operators {

inline constexpr char kDrainMethod[] = "node.drain";

struct DrainOrder {
  bool draining = true;  // False: take new work again.

  std::string ToJson() const;
  static std::optional<DrainOrder> FromJson(std::string_view text);
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_DRAIN_ORDER_H_
