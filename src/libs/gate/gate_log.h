// Log lines of a gate: the decision on an attempt, with the data it was based
// on and its age. Ordinary successes are not logged.
#ifndef GATE_GATE_LOG_H_
#define GATE_GATE_LOG_H_

#include <optional>
#include <span>
#include <string>

#include "admission/server_crash_detector.h"
#include "base/error_kind.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "wire/load_report.h"

namespace chestnutport::gate {

// The decision on an attempt, and the state of the server at that time.
struct GateDecision {
  std::string request;  // The request name given by the caller.
  base::RequestFingerprint fingerprint;
  std::string instance;
  std::optional<base::ErrorKind> error;  // Unset: answered by the server.
  base::Duration queued{};
  std::optional<base::Duration> serving;  // Unset: not sent to the server.
  // An earlier request had used the connection to the server.
  bool on_kept_connection = false;
  // The slowness known at admission, and the age of its report.
  double admitted_slowness = 1;
  std::optional<base::Duration> slowness_age;  // Unset: no report.
  // The usual strain of the service as seen by the sending node; see
  // ServerPerformance.
  std::optional<double> usual_strain;
  // The current state of the server.
  wire::LoadReport load;
  double slowness = 1;
  double failure_share = 0;
  std::optional<double> rate_limit;  // As the server stated; unset: none.
};

// Call for an attempt that the server did not answer, or answered late.
void LogGateDecision(const GateDecision& decision);

// The gate's server crashed while it ran these requests.
void LogServerCrash(const std::string& service,
                    std::span<const admission::InterruptedRequest> running);

// The server's rate limit, or whether it is leaving, changed to these values.
void LogServerNotice(const std::string& instance,
                     std::optional<double> rate_limit,
                     bool is_leaving);

// The server stated a rate limit that is not a number.
void LogInvalidRateLimit(const std::string& instance);

}  // namespace chestnutport::gate

#endif  // GATE_GATE_LOG_H_
