// Routes indexed by host, so that the cost of matching a request does not
// depend on the total number of routes.
#ifndef DECLARATIONS_ROUTE_TABLE_H_
#define DECLARATIONS_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "declarations/route_declaration.h"

namespace chestnutport::declarations {

class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<RouteDeclaration> routes);

  // Returns the route for a request by the longest path prefix; of equal
  // prefixes the one declared first. Returns null if none matches.
  const RouteDeclaration* Match(std::string_view host,
                                std::string_view path) const;

  size_t size() const { return size_; }

 private:
  // Sorted by descending length of the prefix for each host.
  absl::flat_hash_map<std::string, std::vector<RouteDeclaration>> by_host_;
  size_t size_ = 0;
};

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_ROUTE_TABLE_H_
