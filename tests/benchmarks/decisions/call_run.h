// State of one simulated call, from its arrival to its final answer.
#ifndef DECISIONS_CALL_RUN_H_
#define DECISIONS_CALL_RUN_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/attempt_id.h"
#include "base/outcome.h"
#include "calls/call.h"
#include "decisions/simulated_server.h"

namespace chestnutport::bench {

struct AttemptRun {
  base::AttemptId id;
  SimulatedServer* server = nullptr;  // Null if no server was available.
  base::Instant sent_at;
  bool is_open = false;       // Has not ended yet.
  bool is_abandoned = false;  // Its end is not reported to the call.
  bool ok = false;            // The server answered successfully.
};

struct CallRun {
  calls::Call call_state;
  int service = 0;
  int tenant = 0;
  int depth = 0;
  bool is_repeatable = false;
  bool is_measured = false;  // Made by a caller, after the warm-up.
  base::Duration work{};
  base::Instant arrival;
  std::function<void(bool ok)> on_end;  // Set for a call made by a server.

  std::vector<base::NodeId> tried_nodes;
  std::vector<AttemptRun> attempts;  // Indexed by attempt number.
  base::Instant timer_at = base::Instant::max();

  int executions = 0;
  int final_answers = 0;
  bool ok = false;  // The caller got a server's successful answer.
  std::optional<base::Outcome> outcome;
  base::Instant ended_at;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_CALL_RUN_H_
