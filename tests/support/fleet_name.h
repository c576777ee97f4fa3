// The name of the fleets that this test process starts.
#ifndef SUPPORT_FLEET_NAME_H_
#define SUPPORT_FLEET_NAME_H_

#include <string>

namespace chestnutport::test {

// Another one in each process: tests that run at the same time are handed each
// other's ports by the kernel as soon as a node of theirs has ended, and two
// fleets of one name and key would become one.
std::string FleetName();

}  // namespace chestnutport::test

#endif  // SUPPORT_FLEET_NAME_H_
