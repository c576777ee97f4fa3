// The identity of this node.
#ifndef TRAFFIC_NODE_IDENTITY_H_
#define TRAFFIC_NODE_IDENTITY_H_

#include <string>

#include "base/node_id.h"

namespace chestnutport::traffic {

struct NodeIdentity {
  base::NodeId id;
  std::string name;
  std::string data_centre;
  std::string region;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_NODE_IDENTITY_H_
