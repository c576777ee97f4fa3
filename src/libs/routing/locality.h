// Where the node that chooses is, and how far others are from there.
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

  // A usual round trip; what differs from it shows in the latencies.
  base::Duration RoundTripTo(const ServerCandidate& server) const;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_LOCALITY_H_
