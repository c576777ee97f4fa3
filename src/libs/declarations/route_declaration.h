// Routes of requests to services, with their limits.
#ifndef DECLARATIONS_ROUTE_DECLARATION_H_
#define DECLARATIONS_ROUTE_DECLARATION_H_

#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::declarations {

// A service that receives a share of a route's requests.
struct RouteTarget {
  std::string service;
  double weight = 1;  // Relative to the sum of the route's weights.
};

struct RouteDeclaration {
  std::string name;
  std::string host;         // Has to equal the Host header.
  std::string path_prefix;  // The longest matching prefix wins.
  bool is_repeatable = false;
  bool is_public = false;           // Requests need no key.
  base::Duration timeout{};         // Longest time that a caller waits.
  base::Duration target_latency{};  // Responses within it have full value.
  int urgency = 1;                  // Lower values are served first.
  int max_servers = 1;              // Servers that one request may be sent to.
  std::vector<RouteTarget> targets;
  std::vector<std::string> regions;  // Where requests may run; any if empty.

  // Returns a random service according to the weights; an empty string if there
  // are no targets.
  const std::string& PickService(base::Random& random) const;
};

// Returns the name of the request class with an urgency.
std::string UrgencyClass(int urgency);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_ROUTE_DECLARATION_H_
