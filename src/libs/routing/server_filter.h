// The servers that a request may be sent to, and whether local ones are
// preferred.
#ifndef ROUTING_SERVER_FILTER_H_
#define ROUTING_SERVER_FILTER_H_

#include <algorithm>
#include <span>
#include <string>

#include "base/node_id.h"
#include "routing/server_candidate.h"

namespace chestnutport::routing {

struct ServerFilter {
  std::span<const base::NodeId> excluded;
  std::span<const std::string> regions;  // If empty, all regions are allowed.
  // Whether servers in the local data centre are preferred while they have
  // capacity. Not set for calls made by servers: those of a long chain would
  // fill their data centre and wait for each other.
  bool prefers_local_data_centre = false;

  bool AdmitsRegion(const std::string& region) const {
    return regions.empty() ||
           std::ranges::find(regions, region) != regions.end();
  }
  bool Admits(const ServerCandidate& server) const {
    return AdmitsRegion(server.region) &&
           std::ranges::find(excluded, server.node) == excluded.end();
  }
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_FILTER_H_
