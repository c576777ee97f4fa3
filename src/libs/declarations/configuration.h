// All that operators have confirmed, at one revision.
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

namespace chestnutport::declarations {

// Texts of declarations by the service's name. The texts are kept as they were
// confirmed, so that keys which this version does not know survive.
using DeclarationTexts = std::map<std::string, std::string, std::less<>>;

// What a caller may send, and for how long it may take or keep a connection.
struct CallerLimits {
  size_t largest_headers = 32 * 1024;  // Bytes.
  size_t largest_body = 1024 * 1024;   // Bytes.
  base::Duration to_send_request = std::chrono::seconds(30);
  base::Duration idle = std::chrono::seconds(60);
};

struct Configuration {
  uint64_t revision = 0;  // Zero: nothing was ever confirmed.
  DeclarationTexts texts;
  std::vector<ServiceDeclaration> services;  // Parsed from `texts`.

  // Problems in the texts are ignored: they were checked when confirmed.
  static Configuration FromTexts(uint64_t revision, DeclarationTexts texts);

  // Routes that are declared beside the services, if the source of the
  // configuration has such; a service's own host and path are another way.
  RouteTable routes;
  CallerLimits limits;

  // Null if none of that name is declared.
  const ServiceDeclaration* FindService(std::string_view name) const;
  // The service for a request; the longest path prefix wins. Null if none.
  const ServiceDeclaration* Match(std::string_view host,
                                  std::string_view path) const;
};

// Shared, as an exception: every thread of a node reads it, it never changes,
// and a copy of a large one for each change of the fleet costs more than the
// change. Never null.
using SharedConfiguration = std::shared_ptr<const Configuration>;

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_CONFIGURATION_H_
