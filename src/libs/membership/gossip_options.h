// The times and sizes of the gossip between nodes; docs/design/membership.md
// says how each was chosen.
#ifndef MEMBERSHIP_GOSSIP_OPTIONS_H_
#define MEMBERSHIP_GOSSIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace chestnutport::membership {

struct GossipOptions {
  // Between two probes of one node.
  base::Duration probe_interval = std::chrono::milliseconds(250);
  // A ping that is not answered in this time is tried through helpers.
  base::Duration direct_timeout = std::chrono::milliseconds(400);
  // After this time more, the member is suspected.
  base::Duration indirect_timeout = std::chrono::milliseconds(500);
  // A suspected member that does not refute it is declared gone.
  base::Duration suspicion_timeout = std::chrono::seconds(6);
  // For how long gone members are remembered and tried again.
  base::Duration gone_retention = std::chrono::minutes(30);
  // Item that arrive within this time travel on together.
  base::Duration flush_delay = std::chrono::milliseconds(10);
  // A difference to others that lasts this long is mended by a pull.
  base::Duration divergence_grace = std::chrono::seconds(2);
  base::Duration pull_interval = std::chrono::seconds(5);
  base::Duration fast_pull_interval = std::chrono::milliseconds(700);
  // Running later than planned by more than this means that the process was
  // paused, so nothing can be concluded from missing answers.
  base::Duration pause_threshold = std::chrono::milliseconds(500);

  size_t indirect_probes = 3;  // Asked to probe in this node's place.
  size_t local_fan_out = 2;    // Members of the own data centre told at once.
  size_t fleet_fan_out = 1;    // Members of any data centre told at once.
  int retransmissions = 4;     // Times that news also travel on pings and acks.
  size_t leave_fan_out = 8;    // Members told by a node that leaves.
  // Limit on what a node sends beyond the heads of pings and acks.
  size_t bytes_per_second = 5000;
  // Enough for the news of a start of all of some 300 nodes at once, each of
  // which is passed on to three members with its record of about 110 bytes.
  // What does not fit waits, and has to be pulled.
  size_t burst_bytes = 160000;
  // The same for what nodes tell of servers that ended and what those ran. An
  // end with 12 requests running costs the node beside the server 4 kB in a
  // small fleet and 6 kB in a large one, and others nothing.
  size_t evidence_bytes_per_second = 2000;
  size_t evidence_burst_bytes = 20000;
  // Acks are limited by construction, as another end decides their rate.
  size_t acks_per_second = 100;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_OPTIONS_H_
