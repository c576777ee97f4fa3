#include "operators/allocation_report.h"

#include <nlohmann/json.hpp>

namespace chestnutport::operators {

using limits::TenantAllocationView;
using nlohmann::json;

std::string AllocationToJson(const limit_service::LimitReport& report) {
  if (!report.is_allocator)
    return "";
  json tenants = json::array();
  for (const TenantAllocationView& view : report.allocation) {
    tenants.push_back({{"tenant", view.tenant},
                       {"rate", view.leased_rate},
                       {"burst", view.leased_burst},
                       {"holders", view.holders},
                       {"demand", view.demand},
                       {"free", view.free_tokens}});
  }
  return json{{"tenants", tenants}}.dump();
}

std::optional<std::vector<TenantAllocationView>> AllocationFromJson(
    std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object() || !object.contains("tenants") ||
      !object["tenants"].is_array()) {
    return std::nullopt;
  }
  std::vector<TenantAllocationView> views;
  try {
    for (const json& row : object["tenants"]) {
      views.push_back({.tenant = row.at("tenant").get<std::string>(),
                       .leased_rate = row.value("rate", 0.0),
                       .leased_burst = row.value("burst", 0.0),
                       .holders = row.value("holders", size_t{0}),
                       .demand = row.value("demand", 0.0),
                       .free_tokens = row.value("free", 0.0)});
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return views;
}

}  // namespace chestnutport::operators
