// The log lines of callers' requests: what was decided, on what, and how old
// that was. An ordinary success has none; every other end can be found by the
// name that the caller gave the request.
#ifndef INGRESS_CALL_LOG_H_
#define INGRESS_CALL_LOG_H_

#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/request_fingerprint.h"
#include "base/time.h"
#include "ingress/active_call.h"

namespace chestnutport::ingress {

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

}  // namespace chestnutport::ingress

#endif  // INGRESS_CALL_LOG_H_
