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

// GET requests are repeatable; the request deadline is 3 s.
inline constexpr char kDossieDeclaration[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n"
    "[requests]\nrepeatable = GET /dossie/\ndeadline = 3s\n";

struct SmallFleet {
  // Throws if the configuration is not in force on all nodes in time.
  explicit SmallFleet(const std::vector<std::string>& server_flags = {});

  // Runs `load` and injects `fault` meanwhile. At least `calls` requests
  // complete before the fault and after it; throws otherwise. Returns the audit
  // of the callers' results against the servers' ledgers.
  Audit RunWithFault(const LoadOptions& load,
                     const std::function<void()>& fault);
  // Same, for a fault that waits for progress of the load.
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
