// What a nested call takes from the request that the server makes it for.
#ifndef TRAFFIC_RUNNING_REQUEST_H_
#define TRAFFIC_RUNNING_REQUEST_H_

#include <string>

namespace chestnutport::traffic {

struct RunningRequest {
  std::string traffic_class;
  std::string tenant;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_RUNNING_REQUEST_H_
