#include "support/fleet_name.h"

#include <unistd.h>

namespace chestnutport::test {

std::string FleetName() {
  return "test-" + std::to_string(getpid());
}

}  // namespace chestnutport::test
