// The location of the node that chooses servers, and its distance from others.
#ifndef ROUTING_LOCALITY_H_
#define ROUTING_LOCALITY_H_

#include <string>

#include "base/node_id.h"
#include "base/time.h"
#include "routing/server_candidate.h"

namespace chestnutport::routing {

struct Locality {
  std::string data_centre;
  std::string region;
  base::NodeId node;

  // Returns the typical round trip to the server's node. Deviations from it
  // appear in the measured latencies.
  base::Duration RoundTripTo(const ServerCandidate& server) const;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_LOCALITY_H_
