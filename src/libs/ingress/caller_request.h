// A caller's request, checked against what is declared.
#ifndef INGRESS_CALLER_REQUEST_H_
#define INGRESS_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "base/request_fingerprint.h"
#include "base/result.h"
#include "base/time.h"
#include "calls/move_limits.h"
#include "declarations/configuration.h"
#include "net/http_message.h"

namespace chestnutport::ingress {

struct CallerRequest {
  std::string service;
  std::string tenant;
  std::string traffic_class;
  std::string name;  // As the caller named it, for the logs; may be empty.
  base::RequestFingerprint fingerprint;  // Of what it asks for.
  bool is_repeatable = false;
  base::Duration remaining{};      // Until the caller's deadline.
  int depth = 0;                   // Calls above this one.
  std::optional<int> retry_level;  // Of the call above that is repeated.
  // Of a request that may not be repeated; empty: none.
  std::string idempotency_key;
  bool may_stop = false;  // One that runs may be stopped halfway.
  int max_servers = 3;    // That it may be handed to.
  calls::MoveLimits moves;
  // Where it may run; empty: anywhere.
  std::vector<std::string> regions;
  // An answer is worth most until then; zero: it is worth the same until the
  // deadline.
  base::Duration target_latency{};
  std::optional<base::Duration> key_age;  // Since the key's first use.
  net::HttpRequest http;  // Without headers that only nodes may set.
};

// The error to answer with if the request is not to be run.
base::Result<CallerRequest> ReadCallerRequest(
    const declarations::Configuration& configuration,
    net::HttpRequest request);

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALLER_REQUEST_H_
