// What the control thread tells the ingress thread: what is declared, and
// which servers there are. Each snapshot replaces the one before as a whole.
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
  // If second attempts are bounded for the whole fleet.
  std::optional<calls::NodeRetryLimit> retries;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_TRAFFIC_SNAPSHOT_H_
