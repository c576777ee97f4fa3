// A server ended while it ran requests.
#ifndef QUARANTINE_SERVER_CRASH_H_
#define QUARANTINE_SERVER_CRASH_H_

#include <vector>

#include "base/request_fingerprint.h"
#include "base/time.h"
#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct RunningRequest {
  base::RequestFingerprint fingerprint;
  base::Duration run_time{};  // Until the server ended.
  // Servers ended with it twice before.
  bool is_suspect = false;
};

struct ServerCrash {
  CrashId crash;
  std::vector<RunningRequest> running;  // Those that may have ended it.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_SERVER_CRASH_H_
