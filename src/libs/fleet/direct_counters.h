// Counters of the direct datagrams of one node.
#ifndef FLEET_DIRECT_COUNTERS_H_
#define FLEET_DIRECT_COUNTERS_H_

#include <cstdint>

namespace chestnutport::fleet {

struct DirectCounters {
  uint64_t sent = 0;
  uint64_t received = 0;         // Passed to the handler of their channel.
  uint64_t unauthenticated = 0;  // With a wrong tag: another key or fleet.
  // With a valid tag, but cut off or on a channel without a handler.
  uint64_t unknown_channel = 0;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_DIRECT_COUNTERS_H_
