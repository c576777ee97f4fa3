// What is declared of the tenant whose key a request carries. A copy, because
// the configuration may change while the request is served.
#ifndef INGRESS_REQUEST_ACCOUNT_H_
#define INGRESS_REQUEST_ACCOUNT_H_

#include <optional>
#include <string>

namespace chestnutport::ingress {

struct RequestAccount {
  std::string name;
  std::optional<int> urgency;  // Takes precedence over that of the route.
  double rate = 0;             // Requests per second; zero if not limited.
  double burst = 0;            // Requests.
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_REQUEST_ACCOUNT_H_
