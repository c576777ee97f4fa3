// One crash of a server that was running a given request.
#ifndef QUARANTINE_CRASH_OBSERVATION_H_
#define QUARANTINE_CRASH_OBSERVATION_H_

#include <cstdint>

#include "base/time.h"
#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct CrashObservation {
  CrashId crash;
  // Lamport timestamp: one more than the greatest that the node beside the
  // server had seen, so that later crashes have greater values on all nodes.
  uint64_t lamport_time = 0;
  // How long the request had run when the server crashed; shown to operators as
  // `ran`.
  base::Duration run_time{};
  // Number of recent crashes of the same server at which the request was not
  // running.
  int other_crashes = 0;
  // Whether the request was the only suspect running on the server; shown to
  // operators as `alone`.
  bool is_sole_suspect = false;
  base::Instant at;  // By the clock of the node that holds the observation.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_OBSERVATION_H_
