// A crash that no longer counts against a request.
#ifndef QUARANTINE_REFUTED_CRASH_H_
#define QUARANTINE_REFUTED_CRASH_H_

#include <cstdint>

#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct RefutedCrash {
  CrashId crash;
  uint64_t lamport_time = 0;  // Of the crash; see CrashObservation.

  bool operator==(const RefutedCrash&) const = default;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_REFUTED_CRASH_H_
