// A caller's request, checked against the declarations.
#ifndef INGRESS_CALLER_REQUEST_H_
#define INGRESS_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/request_fingerprint.h"
#include "base/result.h"
#include "base/time.h"
#include "calls/move_limits.h"
#include "declarations/configuration.h"
#include "ingress/key_check.h"
#include "ingress/request_account.h"
#include "net/http_message.h"

namespace chestnutport::ingress {

struct CallerRequest {
  std::string service;
  // Of the account if tenants are declared, otherwise as the caller states.
  std::string tenant;
  KeyCheck key_check = KeyCheck::kNotRequired;
  std::optional<RequestAccount> tenant_account;  // Set if the key is known.
  std::string traffic_class;
  // The class of its route, if tenants are declared: the class may be that of
  // the tenant. Requests of one route take about as long as each other.
  std::string work_kind;
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

// Judges `key` by the declared tenants, and sets the key check, the account and
// the tenant of `request`. Changes nothing if no tenants are declared. On a
// public route the key is ignored.
void CheckKey(const declarations::TenantDirectory& tenants,
              bool is_public,
              std::string_view key,
              CallerRequest& request);

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALLER_REQUEST_H_
