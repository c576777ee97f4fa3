// The keys that show a node to belong to the fleet.
#ifndef CONTROL_CALLS_PEER_KEYS_H_
#define CONTROL_CALLS_PEER_KEYS_H_

#include <string>

namespace chestnutport::control_calls {

struct PeerKeys {
  std::string current;   // Signs, and is accepted.
  std::string previous;  // Only accepted; empty: none.
};

}  // namespace chestnutport::control_calls

#endif  // CONTROL_CALLS_PEER_KEYS_H_
