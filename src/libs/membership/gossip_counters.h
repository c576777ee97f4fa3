// Counters of the gossip of one node.
#ifndef MEMBERSHIP_GOSSIP_COUNTERS_H_
#define MEMBERSHIP_GOSSIP_COUNTERS_H_

#include <cstdint>

namespace chestnutport::membership {

struct GossipCounters {
  uint64_t sent = 0;        // Datagrams.
  uint64_t sent_bytes = 0;  // Bytes of those, without IP and UDP headers.
  uint64_t unauthenticated =
      0;  // Datagrams with a wrong tag: another key or fleet.
  uint64_t malformed =
      0;  // Datagrams with a valid tag that could not be decoded in full.
  uint64_t pulls = 0;
  uint64_t suspected = 0;  // Members that this node itself began to suspect.
  uint64_t refuted =
      0;  // Times that this node refuted false claims about itself.
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_COUNTERS_H_
