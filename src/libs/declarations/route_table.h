// Routes by host, so that a request is matched among those of its own host
// however many there are in all.
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

  // The route for a request; the longest path prefix wins, and of two equal
  // ones the one that was declared first. Null if none.
  const RouteDeclaration* Match(std::string_view host,
                                std::string_view path) const;

  size_t size() const { return size_; }

 private:
  // Of each host, the longest prefix first.
  absl::flat_hash_map<std::string, std::vector<RouteDeclaration>> by_host_;
  size_t size_ = 0;
};

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_ROUTE_TABLE_H_
