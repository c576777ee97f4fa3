// Scores how unlikely it is that a server crashed by coincidence while it was
// running a request.
#ifndef QUARANTINE_SURPRISAL_H_
#define QUARANTINE_SURPRISAL_H_

#include "base/time.h"

namespace chestnutport::quarantine {

// Period in which the crashes of a server are counted to estimate its crash
// rate regardless of the requests that it runs.
inline constexpr std::chrono::seconds kCrashRateWindow{60};

// Upper bound for one crash: a probability of one in a thousand.
inline constexpr int kMaxSurprisal = 30;

// Returns ten times the negative decimal logarithm of the probability that the
// server crashes during a run of the request: 20 means one in a hundred.
// `run_time` is the longest time that the request had run at any of the
// crashes: it would have run that long each time if the server had not crashed.
// `other_crashes` is the number of crashes of the same server in the last
// `kCrashRateWindow` at which the request was not running.
//
// Prevents a verdict on a long-running request while servers crash for other
// reasons, since such a request is running at nearly every crash. On a server
// that crashed four times in the last minute, one crash scores 20 for a request
// of 100 ms and 2 for one of 10 s.
int Surprisal(base::Duration run_time, int other_crashes);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_SURPRISAL_H_
