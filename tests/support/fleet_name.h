// The fleet name used by the nodes of this test process.
#ifndef SUPPORT_FLEET_NAME_H_
#define SUPPORT_FLEET_NAME_H_

#include <string>

namespace chestnutport::test {

// Returns a name that is unique to the process. When a node ends, the kernel
// may give its port to a test that runs at the same time, and two fleets with
// the same name and key would merge.
std::string FleetName();

}  // namespace chestnutport::test

#endif  // SUPPORT_FLEET_NAME_H_
