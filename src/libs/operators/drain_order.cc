#include "operators/drain_order.h"

#include <nlohmann/json.hpp>

namespace chestnutport::operators {

using nlohmann::json;

std::string DrainOrder::ToJson() const {
  return json{{"draining", draining}}.dump();
}

std::optional<DrainOrder> DrainOrder::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  const auto draining = object.find("draining");
  if (draining == object.end() || !draining->is_boolean())
    return std::nullopt;
  return DrainOrder{draining->get<bool>()};
}

}  // namespace chestnutport::operators
