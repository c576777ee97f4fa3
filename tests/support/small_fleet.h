// The fleet of most failure tests: three VMs of one service over two data
// centres, with a configuration in force.
#ifndef SUPPORT_SMALL_FLEET_H_
#define SUPPORT_SMALL_FLEET_H_

#include <functional>
#include <string>

#include "support/audit.h"
#include "support/fleet.h"
#include "support/load.h"

namespace chestnutport::test {

// GET may be repeated; a deadline of 3 s.
inline constexpr char kDossieDeclaration[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n"
    "[requests]\nrepeatable = GET /dossie/\ndeadline = 3s\n";

struct SmallFleet {
  // Throws if the configuration does not come in force.
  explicit SmallFleet(const std::vector<std::string>& server_flags = {});

  // Runs `load` while `fault` is done to the fleet, with at least `calls`
  // requests before it and after it; what callers and servers say of it.
  Audit RunWithFault(const LoadOptions& load,
                     const std::function<void()>& fault);
  // The same, of a fault that lasts until something has become of the load.
  Audit RunWithFault(const LoadOptions& load,
                     const std::function<void(Load&)>& fault);

  Fleet fleet;
  Vm& a;
  Vm& b;
  Vm& c;
  uint64_t revision = 0;
  size_t calls = 300;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_SMALL_FLEET_H_
