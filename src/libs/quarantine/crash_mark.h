// A server ended while it ran a certain request.
#ifndef QUARANTINE_CRASH_MARK_H_
#define QUARANTINE_CRASH_MARK_H_

#include "base/time.h"
#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct CrashMark {
  CrashId crash;
  int surprise = 0;  // See Surprise().
  base::Instant at;  // By the clock of the node that holds the mark.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_CRASH_MARK_H_
