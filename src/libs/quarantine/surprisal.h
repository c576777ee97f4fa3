// How improbable it is that a server ended by chance while it ran a request.
#ifndef QUARANTINE_SURPRISAL_H_
#define QUARANTINE_SURPRISAL_H_

#include "base/time.h"

namespace chestnutport::quarantine {

// Ends of a server within this time tell how often it ends whatever it runs.
inline constexpr std::chrono::seconds kCrashRateWindow{60};

// One end never counts for more: ten times the logarithm of one in a thousand.
inline constexpr int kMaxSurprisal = 30;

// Ten times the negative decimal logarithm of the chance that the server ends
// in a time as long as the request runs: 20 is one in a hundred. `runs`: the
// longest that it ran at any end, as it would have run so long at each, had the
// server not ended; `other_crashes`: of the same server in the last
// `kCrashRateWindow`, at which the request did not run.
//
// Guards against a verdict on a request that runs for long while servers end
// for other reasons: it runs at nearly each end. On a server that ended four
// times in the last minute, a request of 100 ms has 20 from an end, one of 10 s
// has 2.
int Surprisal(base::Duration runs, int other_crashes);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_SURPRISAL_H_
