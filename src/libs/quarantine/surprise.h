// How improbable it is that a server ended by chance while it ran a request.
#ifndef QUARANTINE_SURPRISE_H_
#define QUARANTINE_SURPRISE_H_

#include <cstddef>

#include "base/time.h"

namespace chestnutport::quarantine {

// Ends of other servers of the service within this time tell how often servers
// end whatever they run.
inline constexpr std::chrono::seconds kEndsWindow{60};

// One end never counts for more: ten times the logarithm of one in a thousand.
inline constexpr int kMostSurprise = 30;

// Ten times the negative decimal logarithm of the chance that a server ends in a
// time as long as the request ran: 20 is one in a hundred. `ran`: how long it
// ran until its server ended; `other_ends`: ends of servers of the service in the
// last `kEndsWindow` at which it did not run; `servers`: of the service, 1 at
// least.
//
// Guards against a verdict on a request that runs for long while servers end for
// other reasons: it runs at nearly each end. With four ends a minute a server, a
// request of 100 ms has 21 from an end, one of 10 s has 3.
int Surprise(base::Duration ran, size_t other_ends, size_t servers);

}  // namespace chestnutport::quarantine

#endif  // QUARANTINE_SURPRISE_H_
