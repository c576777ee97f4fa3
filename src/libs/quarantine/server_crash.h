// A crash of a server and the requests that it was running.
#ifndef QUARANTINE_SERVER_CRASH_H_
#define QUARANTINE_SERVER_CRASH_H_

#include <vector>

#include "base/request_fingerprint.h"
#include "base/time.h"
#include "quarantine/crash_id.h"

namespace chestnutport::quarantine {

struct RunningRequest {
  base::RequestFingerprint fingerprint;
  base::Duration run_time{};  // How long it had run when the server crashed.
  // Whether two crashes had been observed with it before.
  bool is_suspect = false;
};

struct ServerCrash {
  CrashId crash;
  std::vector<RunningRequest>
      running;  // The requests that may have caused the crash.
};

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_SERVER_CRASH_H_
