// An attempt that requests admission to the server.
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
  // The answer loses value after this time. If unset, its value stays the same
  // until the deadline.
  std::optional<base::Instant> target;
  // The attempt may be interrupted while it runs, so it may also start with too
  // little time left to finish.
  bool may_stop = false;
  // The sender has passed on that the server is leaving.
  bool is_server_leaving = false;
  // Kind of work, for the expected service time. Empty: requests of one tenant
  // in one class are of one kind.
  std::string work_kind;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_ARRIVAL_H_
