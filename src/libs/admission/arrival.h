// An attempt that asks to run on the server.
#ifndef ADMISSION_ARRIVAL_H_
#define ADMISSION_ARRIVAL_H_

#include <optional>
#include <string>

#include "base/attempt_id.h"
#include "base/time.h"

namespace chestnutport::admission {

struct Arrival {
  base::AttemptId attempt;
  std::string tenant;
  std::string traffic_class;
  base::Instant deadline;
  // An answer is worth less from then on; nothing: the same until the deadline.
  std::optional<base::Instant> target;
  // One that runs may be stopped halfway: to begin it in vain does no harm.
  bool may_stop = false;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_ARRIVAL_H_
