// Timing and size parameters of the gossip between nodes;
// docs/design/membership.md explains how each was chosen.
#ifndef MEMBERSHIP_GOSSIP_OPTIONS_H_
#define MEMBERSHIP_GOSSIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace chestnutport::membership {

struct GossipOptions {
  base::Duration probe_interval = std::chrono::milliseconds(250);
  // A ping that is not acked within this time is retried through other members.
  base::Duration direct_timeout = std::chrono::milliseconds(400);
  // A member that has not answered after this additional time is suspected.
  base::Duration indirect_timeout = std::chrono::milliseconds(500);
  // A suspected member that does not refute within this time is declared gone.
  base::Duration suspicion_timeout = std::chrono::seconds(6);
  // How long gone members are kept and pinged again.
  base::Duration gone_retention = std::chrono::minutes(30);
  // Updates that arrive within this time are sent together.
  base::Duration flush_delay = std::chrono::milliseconds(10);
  // A difference to other views that lasts this long triggers a pull.
  base::Duration divergence_grace = std::chrono::seconds(2);
  base::Duration pull_interval = std::chrono::seconds(5);
  base::Duration fast_pull_interval = std::chrono::milliseconds(150);
  // A run later than planned by more than this shows a pause of the process.
  // Missing acks are then no evidence of a failure of other members.
  base::Duration pause_threshold = std::chrono::milliseconds(500);

  size_t indirect_probes = 3;  // Members that probe for this node.
  // Members of the local data centre that an update is first sent to.
  size_t local_fan_out = 2;
  // Members of any data centre that an update is first sent to.
  size_t fleet_fan_out = 1;
  // Members of a data centre that send an update on to these, on average. In a
  // larger data centre each member does so with a lower probability: the bytes
  // between data centres would otherwise grow with the square of the members.
  double fleet_senders = 20;
  // How often an update is also piggybacked on pings and acks.
  int retransmissions = 4;
  size_t leave_fan_out = 8;  // Members notified by a leaving node.
  // Rate limit of a node, not counting the fixed part of pings and acks.
  size_t bytes_per_second = 5000;
  // Burst limit. It suffices for a simultaneous start of some 300 nodes, each
  // of which causes an update that is sent to three members with a record of
  // about 110 bytes. Updates beyond it are delayed and have to be pulled.
  size_t burst_bytes = 160000;
  // Rate and burst limits for evidence on crashes. A crash with 12 running
  // requests costs the node beside the server 4 kB in a small fleet and 6 kB in
  // a large one, and other nodes nothing.
  size_t evidence_bytes_per_second = 2000;
  size_t evidence_burst_bytes = 20000;
  // Acks have a limit of their own, since their rate depends on the pings of
  // other nodes.
  size_t acks_per_second = 100;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_GOSSIP_OPTIONS_H_
