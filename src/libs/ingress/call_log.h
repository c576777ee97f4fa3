// Logs how callers' requests ended, with the attempts that led to it. Ordinary
// successes are not logged; any other end can be found by the caller's request
// id.
#ifndef INGRESS_CALL_LOG_H_
#define INGRESS_CALL_LOG_H_

#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "ingress/active_call.h"
#include "net/body_policy.h"

namespace chestnutport::ingress {

// The end of a caller's request at its ingress.
struct CallEnd {
  std::optional<base::ErrorKind>
      error;       // Not set if a server's answer is sent.
  int status = 0;  // HTTP status sent to the caller.
  base::Duration retry_after{};
  uint64_t revision = 0;  // Of the active configuration.
};

// Logs nothing if the call succeeded with a single attempt within the latency
// target.
void LogCallEnd(const ActiveCall& call, const CallEnd& end, base::Instant now);

// Logs a request that was rejected before any attempt. `revision`: of the
// configuration it was checked against; `tenant`: empty if not known.
// Logs why the body of a request was not read, and the figures behind it.
void LogBodyRefused(const std::string& request,
                    const net::BodyRefusal& refusal);

void LogCallRejected(const std::string& request,
                     base::RequestFingerprint fingerprint,
                     const std::string& tenant,
                     base::ErrorKind error,
                     uint64_t revision);

// Logs that the caller disconnected before its answer.
void LogCallerGone(const ActiveCall& call, base::Instant now);
// Logs that the caller had disconnected when its request was read.
void LogCallerGoneBeforeStart(const std::string& request);

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALL_LOG_H_
