// The declaration of one service.
#ifndef DECLARATIONS_SERVICE_DECLARATION_H_
#define DECLARATIONS_SERVICE_DECLARATION_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "declarations/declaration_key.h"
#include "settings/problem.h"

namespace chestnutport::declarations {

// Matches requests that may be repeated, by method and path prefix.
struct RepeatableRule {
  std::string method;       // "GET", or "*" for every method.
  std::string path_prefix;  // "/" for every path.
};

// A class of requests. Those with a lower `urgency` are served first.
struct ClassDeclaration {
  std::string name;
  int urgency = 1;
};

// A tenant, with its share of the service's servers under contention.
struct TenantDeclaration {
  std::string name;
  int share = 1;
};

// Where the idempotency keys of a service are recorded.
enum class KeyRecordLocation {
  kOwner,  // In the memory of the node that owns the key.
  kStore,  // In the platform's store, with one write per keyed request.
};

struct ServiceDeclaration {
  std::string name;
  std::string host;         // Has to equal the Host header; any if empty.
  std::string path_prefix;  // Prefix of the path.
  std::vector<RepeatableRule> repeatable;
  std::vector<std::string> regions;  // Where requests may run; any if empty.
  bool is_public = false;            // Requests need no key.
  base::Duration deadline =
      std::chrono::seconds(10);  // Of a request without a deadline.
  base::Duration longest_deadline = std::chrono::seconds(60);
  double retry_budget = 0.1;  // Retries, as a share of all requests.
  double hedge_budget = 0.02;
  int slots = 12;               // Requests that a server runs concurrently.
  int queue = 24;               // Requests that may wait for one server.
  double probe_budget = 0.005;  // Share of server time for probes.
  base::Duration drain_grace = std::chrono::seconds(30);
  base::Duration cold_start = std::chrono::seconds(10);
  // Requests per second that a cold server tolerates; zero if their rate is not
  // limited.
  double cold_rate = 0;
  KeyRecordLocation key_record = KeyRecordLocation::kOwner;
  // Path at which a server reports its health; if empty, it reports its health
  // when it announces itself.
  std::string health_path;
  // A server is probed after this time without a response.
  base::Duration probe_quiet = std::chrono::seconds(2);
  // After this time without a response from the server, a request that could go
  // to another server waits for a probe before it starts; zero disables the
  // wait.
  base::Duration probe_stale{};
  // Whether the concurrency limit of a server adapts to measurements. Otherwise
  // it is the number of its slots.
  bool adapts_limit = true;
  // Largest share of its slots that a server is given, because some servers
  // slow down when they are nearly full.
  double usable_slots = 1;
  int max_connections = 0;  // Accepted by a server; zero if unknown.
  std::vector<ClassDeclaration> classes;
  std::vector<TenantDeclaration>
      tenants;  // If empty, any tenant, with equal shares.

  bool IsRepeatable(std::string_view method, std::string_view path) const;
};

// Returns all keys, in the order of docs/DECLARATIONS.md.
const std::vector<DeclarationKey>& DescribeDeclarationKeys();

// Parses the declaration in `text`. Unknown keys are problems only if `strict`.
// Nodes are not strict, as a newer version may have accepted the keys.
ServiceDeclaration ParseService(std::string_view file,
                                std::string_view text,
                                bool strict,
                                settings::Problems& problems);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_SERVICE_DECLARATION_H_
