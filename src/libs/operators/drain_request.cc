#include "operators/drain_request.h"

#include <nlohmann/json.hpp>

namespace chestnutport::operators {

using nlohmann::json;

std::string DrainRequest::ToJson() const {
  return json{{"draining", draining}}.dump();
}

std::optional<DrainRequest> DrainRequest::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  const auto draining = object.find("draining");
  if (draining == object.end() || !draining->is_boolean())
    return std::nullopt;
  return DrainRequest{draining->get<bool>()};
}

}  // namespace chestnutport::operators
