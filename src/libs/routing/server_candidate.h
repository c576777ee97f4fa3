// A server that a request may be sent to, as membership describes it.
#ifndef ROUTING_SERVER_CANDIDATE_H_
#define ROUTING_SERVER_CANDIDATE_H_

#include <string>

#include "base/node_id.h"
#include "base/socket_address.h"

namespace chestnutport::routing {

enum class ServerState {
  kServing,
  kSuspected,  // Its node does not answer others; to be used last.
  kDraining,   // Takes no new work.
};

struct ServerCandidate {
  base::NodeId node;  // The node beside the server.
  base::SocketAddress peer_address;
  std::string data_centre;
  std::string region;
  ServerState state = ServerState::kServing;
  int slots = 1;  // Requests that the server runs at a time.
  // Requests a second that it is given while it is cold; zero: it is warm.
  double cold_rate = 0;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_CANDIDATE_H_
