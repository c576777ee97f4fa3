// The result of an attempt, as far as it matters for choosing servers.
#ifndef ROUTING_ATTEMPT_RESULT_H_
#define ROUTING_ATTEMPT_RESULT_H_

#include <optional>

#include "base/time.h"
#include "wire/load_report.h"

namespace chestnutport::routing {

enum class AttemptResultKind {
  kAnswered,     // The server answered, below status 500.
  kFailed,       // The server answered with a status of 500 or more.
  kRefused,      // The server's node refused the attempt; it did not run.
  kUnreachable,  // No connection, or one that was lost or stopped responding.
  kCancelled,    // Ended by this node; no evidence about the server.
};

struct AttemptResult {
  AttemptResultKind kind = AttemptResultKind::kAnswered;
  base::Duration latency{};  // From sending to the end of the answer.
  std::optional<wire::LoadReport> load;  // If the answer included one.
};

}  // namespace chestnutport::routing

#endif  // ROUTING_ATTEMPT_RESULT_H_
