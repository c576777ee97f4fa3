#include "declarations/route_table.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace chestnutport::declarations {

RouteTable::RouteTable(std::vector<RouteDeclaration> routes)
    : size_(routes.size()) {
  for (RouteDeclaration& route : routes) {
    auto& host_routes = by_host_[route.host];
    host_routes.push_back(std::move(route));
  }
  for (auto& [host, host_routes] : by_host_) {
    std::ranges::stable_sort(
        host_routes, std::ranges::greater(),
        [](const RouteDeclaration& route) { return route.path_prefix.size(); });
  }
}

const RouteDeclaration* RouteTable::Match(std::string_view host,
                                          std::string_view path) const {
  const auto found = by_host_.find(base::AbslView(host));
  if (found == by_host_.end())
    return nullptr;
  const auto route =
      std::ranges::find_if(found->second, [path](const auto& candidate) {
        return path.starts_with(candidate.path_prefix);
      });
  return route == found->second.end() ? nullptr : &*route;
}

}  // namespace chestnutport::declarations
