// The log lines of single requests: what was decided, on what, and how old that
// was. An ordinary success has none; every other end can be found by the name
// that the caller gave the request.
#ifndef NODE_REQUEST_LOG_H_
#define NODE_REQUEST_LOG_H_

#include <optional>
#include <span>
#include <string>

#include "admission/server_end_watch.h"
#include "base/error_kind.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "node/active_call.h"
#include "wire/load_report.h"

namespace chestnutport::node {

// The end of a caller's request at its ingress.
struct CallEnd {
  std::optional<base::ErrorKind> error;  // None: the server's answer.
  int status = 0;                        // As the caller is told.
  base::Duration retry_after{};
  uint64_t revision = 0;  // Of the configuration in force.
};

// Writes nothing for a success in time at the first server.
void LogCallEnd(const ActiveCall& call, const CallEnd& end, base::Instant now);

// A request that was not read as a call at all.
// `revision`: of the configuration that decided it.
void LogCallRejected(const std::string& request,
                     base::RequestFingerprint fingerprint,
                     base::ErrorKind error,
                     uint64_t revision);

// The caller went away before its answer.
void LogCallerGone(const ActiveCall& call, base::Instant now);

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
  // What the asking node takes for usual in the service; see ServerPace.
  std::optional<double> usual_strain;
  // The state of the server as of now.
  wire::LoadReport load;
  double slowness = 1;
  double failure_share = 0;
};

// For what the server did not answer, and for what it answered late.
void LogGateDecision(const GateDecision& decision);

// The gate's server ended while it ran these.
void LogServerEnd(const std::string& service,
                  std::span<const admission::BrokenRequest> running);

}  // namespace chestnutport::node

#endif  // NODE_REQUEST_LOG_H_
