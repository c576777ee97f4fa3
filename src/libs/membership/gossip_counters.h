// What one node's gossip has done so far.
#ifndef MEMBERSHIP_GOSSIP_COUNTERS_H_
#define MEMBERSHIP_GOSSIP_COUNTERS_H_

#include <cstdint>

namespace chestnutport::membership {

struct GossipCounters {
  uint64_t sent = 0;             // Datagrams.
  uint64_t sent_bytes = 0;       // Of those, without IP and UDP heads.
  uint64_t unauthenticated = 0;  // Datagrams of another key or fleet.
  uint64_t malformed = 0;  // With a right tag, not or not wholly readable.
  uint64_t pulls = 0;
  uint64_t suspected = 0;  // Members that this node itself suspected.
  uint64_t refuted = 0;    // Times that others were wrong about this node.
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_COUNTERS_H_
