// A caller's request, checked against the declarations.
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
  std::string name;  // Request id given by the caller, for logs; may be empty.
  base::RequestFingerprint
      fingerprint;  // Of tenant, method, host, target and body.
  bool is_repeatable = false;
  base::Duration remaining{};      // Until the caller's deadline.
  int depth = 0;                   // Number of enclosing calls.
  std::optional<int> retry_level;  // Depth of the enclosing call that retries.
  // Only for a request that is not repeatable; may be empty.
  std::string idempotency_key;
  bool may_stop = false;  // May be interrupted while running.
  int max_servers = 3;    // Maximum number of servers that receive it.
  calls::MoveLimits moves;
  // Regions in which it may run. If empty, all are allowed.
  std::vector<std::string> regions;
  // Time after which an answer loses value. Zero if it keeps its value until
  // the deadline.
  base::Duration target_latency{};
  std::optional<base::Duration> key_age;  // Since the key's first use.
  net::HttpRequest http;  // Without the headers that only nodes may set.
};

// Returns the checked request, or the error to answer with.
base::Result<CallerRequest> ReadCallerRequest(
    const declarations::Configuration& configuration,
    net::HttpRequest request);

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALLER_REQUEST_H_
