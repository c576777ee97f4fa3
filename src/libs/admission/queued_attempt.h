// An attempt that waits for a free slot.
#ifndef ADMISSION_QUEUED_ATTEMPT_H_
#define ADMISSION_QUEUED_ATTEMPT_H_

#include <optional>

#include "admission/service_times.h"
#include "base/attempt_id.h"
#include "base/time.h"

namespace chestnutport::admission {

// Identifies a flow, the requests of one tenant in one class, within a
// FairQueue.
using FlowId = int;

struct QueuedAttempt {
  base::AttemptId attempt;
  FlowId flow = 0;
  base::Instant deadline;
  std::optional<base::Instant> target;
  bool may_stop = false;  // May be interrupted while it runs.
  WorkId work = 0;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_QUEUED_ATTEMPT_H_
