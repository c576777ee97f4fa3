// The fleets of the two users.
#ifndef DECISIONS_FLEET_SHAPE_H_
#define DECISIONS_FLEET_SHAPE_H_

#include <string>
#include <vector>

#include "base/time.h"

namespace chestnutport::bench {

struct FleetShape {
  std::string user;
  std::vector<std::string> data_centres;
  base::Duration between_data_centres;  // One way.
  int slots = 0;                        // Of each server.
  // Number of servers of each service. Conditions affect the first service.
  std::vector<int> services;
};

inline FleetShape Consorcio() {
  return {"consorcio",
          {"poa-a", "poa-b", "poa-c"},
          std::chrono::microseconds(500),
          12,
          {9, 3}};
}

inline FleetShape Kivisaar() {
  return {"kivisaar",
          {"maardu-hall", "keila-hall", "saue-hall", "rae-hall"},
          std::chrono::microseconds(1500),
          15,
          {7, 4}};
}

}  // namespace chestnutport::bench

#endif  // DECISIONS_FLEET_SHAPE_H_
