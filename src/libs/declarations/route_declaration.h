// Which requests go to which services, and what they may cost.
#ifndef DECLARATIONS_ROUTE_DECLARATION_H_
#define DECLARATIONS_ROUTE_DECLARATION_H_

#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::declarations {

// A service that gets a part of a route's requests.
struct RouteTarget {
  std::string service;
  int weight = 1;  // Its part of the sum of the route's weights.
};

struct RouteDeclaration {
  std::string name;
  std::string host;         // Equals the Host header.
  std::string path_prefix;  // The longest that begins the path decides.
  bool is_repeatable = false;
  base::Duration timeout{};         // A caller waits no longer than this.
  base::Duration target_latency{};  // An answer is worth most until then.
  int urgency = 1;                  // A lower one goes first.
  int max_servers = 1;              // That one request may be handed to.
  std::vector<RouteTarget> targets;
  std::vector<std::string> regions;  // Where a request may run; empty: any.

  // A service by the weights; empty if there are no targets.
  const std::string& PickService(base::Random& random) const;
};

// The name of the class of requests with an urgency.
std::string UrgencyClass(int urgency);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_ROUTE_DECLARATION_H_
