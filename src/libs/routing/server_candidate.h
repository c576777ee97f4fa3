// A server that requests may be sent to, as known from the membership.
#ifndef ROUTING_SERVER_CANDIDATE_H_
#define ROUTING_SERVER_CANDIDATE_H_

#include <string>

#include "base/node_id.h"
#include "base/socket_address.h"

namespace chestnutport::routing {

enum class ServerState {
  kServing,
  kSuspected,  // Its node does not respond to others; used only as a last
               // resort.
  kDraining,   // Accepts no new requests.
};

struct ServerCandidate {
  base::NodeId node;  // The node on the server's VM.
  base::SocketAddress peer_address;
  std::string data_centre;
  std::string region;
  ServerState state = ServerState::kServing;
  int slots = 1;  // Requests that the server runs concurrently.
  // Requests per second that the server accepts; zero if unlimited.
  double rate_limit = 0;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_CANDIDATE_H_
