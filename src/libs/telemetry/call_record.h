// What is recorded of one request when it ends.
#ifndef TELEMETRY_CALL_RECORD_H_
#define TELEMETRY_CALL_RECORD_H_

#include <optional>
#include <string_view>

#include "base/error_kind.h"
#include "base/outcome.h"
#include "base/time.h"

namespace chestnutport::telemetry {

// Of a caller's request at its ingress node.
struct CallRecord {
  std::string_view service;  // Empty if none matched.
  std::string_view tenant;
  std::string_view traffic_class;
  base::Outcome outcome = base::Outcome::kAnswered;
  std::optional<base::ErrorKind> error;  // None if the server answered.
  base::Duration total{};  // From the whole request to the whole answer.
  // What the server took of that, as its gate measured it.
  base::Duration server_time{};
  int attempts = 0;  // Sent, hedges included.
  int moves = 0;     // Of them, handed back by a gate, unrun.
  int hedges = 0;    // Sent while an earlier attempt was in flight.
};

// Of an attempt at the gate of its server.
struct AttemptRecord {
  std::string_view service;
  std::string_view tenant;
  std::string_view traffic_class;
  std::optional<base::ErrorKind> error;  // None if the server answered.
  base::Duration queued{};  // Before it was handed over or refused.
  // From there to the end of the answer; none if the server did not get it.
  std::optional<base::Duration> serving;
  // Refused for lack of capacity while the server stated a rate limit.
  bool is_rate_limited = false;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_CALL_RECORD_H_
