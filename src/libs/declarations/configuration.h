// The configuration confirmed by operators at one revision.
#ifndef DECLARATIONS_CONFIGURATION_H_
#define DECLARATIONS_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "declarations/route_table.h"
#include "declarations/service_declaration.h"
#include "declarations/tenant_directory.h"

namespace chestnutport::declarations {

// Maps service names to the texts of their declarations, and `tenants` to that
// of the tenants. The texts are kept as
// confirmed, so that keys unknown to this version are preserved.
using DeclarationTexts = std::map<std::string, std::string, std::less<>>;

// Limits on the size of requests and on the time that a caller may take to send
// one or keep a connection idle.
struct CallerLimits {
  size_t largest_headers = 32 * 1024;  // Bytes.
  size_t largest_body = 1024 * 1024;   // Bytes.
  base::Duration to_send_request = std::chrono::seconds(30);
  base::Duration idle = std::chrono::seconds(60);
};

struct Configuration {
  uint64_t revision = 0;  // Zero before the first confirmation.
  DeclarationTexts texts;
  std::vector<ServiceDeclaration> services;  // Parsed from `texts`.

  // Ignores problems in the texts, which were validated when they were
  // confirmed.
  static Configuration FromTexts(uint64_t revision, DeclarationTexts texts);

  // Routes declared separately from the services, if the source of the
  // configuration has any. A service may also be matched by its own host and
  // path.
  RouteTable routes;
  // If there are any, a request needs a key unless its route is public.
  TenantDirectory tenants;
  CallerLimits limits;

  // Returns null if no service has that name.
  const ServiceDeclaration* FindService(std::string_view name) const;
  // Returns the service for a request by the longest path prefix; null if none
  // matches.
  const ServiceDeclaration* Match(std::string_view host,
                                  std::string_view path) const;
};

// Shared between all threads of a node and immutable, because copying a large
// configuration at each change of the fleet would cost more than the change.
// Never null.
using SharedConfiguration = std::shared_ptr<const Configuration>;

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_CONFIGURATION_H_
