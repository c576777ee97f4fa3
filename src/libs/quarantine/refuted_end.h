// The end of a server that does not count against a request any more.
#ifndef QUARANTINE_REFUTED_END_H_
#define QUARANTINE_REFUTED_END_H_

#include <cstdint>

#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct RefutedEnd {
  CrashId crash;
  uint64_t order = 0;  // As its mark had it.

  bool operator==(const RefutedEnd&) const = default;
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_REFUTED_END_H_
