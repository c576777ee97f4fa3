// A server ended while it ran a certain request.
#ifndef QUARANTINE_CRASH_OBSERVATION_H_
#define QUARANTINE_CRASH_OBSERVATION_H_

#include <cstdint>

#include "base/time.h"
#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct CrashObservation {
  CrashId crash;
  // Later ends have greater ones on all nodes: one more than any that the node
  // beside the server knew of.
  uint64_t lamport_time = 0;
  base::Duration run_time{};  // Until the server ended.
  // Ends of the same server lately at which the request did not run.
  int other_crashes = 0;
  // It was the only suspect that the server ran.
  bool is_sole_suspect = false;
  base::Instant at;  // By the clock of the node that holds the mark.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_OBSERVATION_H_
