// The configuration and the servers, as the control thread passes them to the
// ingress thread. Each snapshot replaces the previous one completely.
#ifndef INGRESS_TRAFFIC_SNAPSHOT_H_
#define INGRESS_TRAFFIC_SNAPSHOT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "calls/fleet_retry_limit.h"
#include "declarations/configuration.h"
#include "routing/server_candidate.h"

namespace chestnutport::ingress {

struct TrafficSnapshot {
  declarations::SharedConfiguration configuration =
      std::make_shared<const declarations::Configuration>();
  std::map<std::string, std::vector<routing::ServerCandidate>, std::less<>>
      servers;  // By service.
  // Set if retries and hedges are limited for the whole fleet.
  std::optional<calls::NodeRetryLimit> retries;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_TRAFFIC_SNAPSHOT_H_
