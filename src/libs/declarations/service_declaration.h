// What operators declare about one service.
#ifndef DECLARATIONS_SERVICE_DECLARATION_H_
#define DECLARATIONS_SERVICE_DECLARATION_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "settings/problem.h"

namespace chestnutport::declarations {

// Requests that may be repeated: a method, and the beginning of the path.
struct RepeatableRule {
  std::string method;       // "GET", or "*" for every method.
  std::string path_prefix;  // "/" for every path.
};

// A group of requests by urgency. A lower `urgency` goes first.
struct ClassDeclaration {
  std::string name;
  int urgency = 1;
};

// An organisation that calls, with a share of the service's servers under
// contention.
struct TenantDeclaration {
  std::string name;
  int share = 1;
};

// Where the record of idempotency keys of a service is kept.
enum class KeyRecordLocation {
  kOwner,  // In the memory of the node that owns the key.
  kStore,  // In the platform's store: a write for each keyed request.
};

struct ServiceDeclaration {
  std::string name;
  std::string host;         // Matches the Host header; empty: any.
  std::string path_prefix;  // Matches the beginning of the path.
  std::vector<RepeatableRule> repeatable;
  std::vector<std::string> regions;  // Where a request may run; empty: any.
  base::Duration deadline =
      std::chrono::seconds(10);  // If the caller has none.
  base::Duration longest_deadline = std::chrono::seconds(60);
  double retry_budget = 0.1;  // Attempts beyond the first, as a share.
  double hedge_budget = 0.02;
  int slots = 12;               // Requests a server runs at a time.
  int queue = 24;               // Requests that may wait for one server.
  double probe_budget = 0.005;  // Server's time for probes, as a share.
  base::Duration drain_grace = std::chrono::seconds(30);
  base::Duration cold_start = std::chrono::seconds(10);
  // Requests a second that a cold server tolerates; zero: as many as a warm
  // one.
  double cold_rate = 0;
  KeyRecordLocation key_record = KeyRecordLocation::kOwner;
  // Where a server tells how it is; empty: it says so when it announces itself.
  std::string health_path;
  // Without an answer for so long, a server is probed.
  base::Duration probe_quiet = std::chrono::seconds(2);
  // Without an answer for so long, a request waits for a probe before it is
  // started, if it could go to another server; zero: it does not wait.
  base::Duration probe_stale{};
  // False: a server is given as many requests as it has slots, whatever is
  // measured.
  bool adapts_limit = true;
  // Of its slots, the share that a server is given at most: some slow down when
  // they are nearly full.
  double usable_slots = 1;
  int max_connections = 0;  // That a server accepts; zero: it is not known.
  std::vector<ClassDeclaration> classes;
  std::vector<TenantDeclaration> tenants;  // Empty: any tenant, equal shares.

  bool IsRepeatable(std::string_view method, std::string_view path) const;
};

// One key of a declaration as it is documented and checked.
struct DeclarationKey {
  std::string_view section;
  std::string_view key;
  std::string_view accepted;
  std::string_view default_text;  // Empty: must be given.
  std::string_view help;
};

// All keys, in the order of docs/DECLARATIONS.md.
const std::vector<DeclarationKey>& DescribeDeclarationKeys();

// The table of docs/DECLARATIONS.md, in Markdown.
std::string DeclarationsTable();

// Reads the declaration in `text`. Keys that are not known are problems if
// `strict`; a node reading what a newer one accepted is not strict.
ServiceDeclaration ParseService(std::string_view file,
                                std::string_view text,
                                bool strict,
                                settings::Problems& problems);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_SERVICE_DECLARATION_H_
