// The log lines of a gate: what it did with an attempt, on what, and how old
// that was. An ordinary success has none.
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

// What a gate did with an attempt, and the state of its server just then.
struct GateDecision {
  std::string request;  // As the caller named it.
  base::RequestFingerprint fingerprint;
  std::string instance;
  std::optional<base::ErrorKind> error;  // None: the server's answer.
  base::Duration queued{};
  std::optional<base::Duration> serving;  // None: it did not reach the server.
  // By which the attempt was admitted.
  double admitted_slowness = 1;
  std::optional<base::Duration> slowness_age;  // Nothing: it was never told.
  // What the asking node takes for usual in the service; see ServerPerformance.
  std::optional<double> usual_strain;
  // The state of the server as of now.
  wire::LoadReport load;
  double slowness = 1;
  double failure_share = 0;
};

// For what the server did not answer, and for what it answered late.
void LogGateDecision(const GateDecision& decision);

// The gate's server ended while it ran these.
void LogServerCrash(const std::string& service,
                    std::span<const admission::InterruptedRequest> running);

}  // namespace chestnutport::gate

#endif  // GATE_GATE_LOG_H_
