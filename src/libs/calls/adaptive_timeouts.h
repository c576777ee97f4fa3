// The waits of a service's calls, worked out from the latencies seen.
#ifndef CALLS_ADAPTIVE_TIMEOUTS_H_
#define CALLS_ADAPTIVE_TIMEOUTS_H_

#include "base/time.h"
#include "calls/call_policy.h"
#include "calls/latency_quantiles.h"

namespace chestnutport::calls {

class AdaptiveTimeouts {
 public:
  AdaptiveTimeouts();

  // Of an attempt that the server answered.
  void OnAnswer(base::Duration latency, base::Instant now);
  // Of a question about an attempt.
  void OnStatusReply(base::Duration round_trip, base::Instant now);

  // Sets the waits in `policy`; hedges are for the share `hedge_budget` of the
  // calls that is slowest.
  void Apply(double hedge_budget, CallPolicy& policy);

 private:
  void Refresh();

  LatencyQuantiles answer_latencies_;
  LatencyQuantiles query_latencies_;
  int calls_until_refresh_ = 0;
  double hedge_budget_ = 0;
  base::Duration hedge_delay_{};
  base::Duration status_query_delay_;
  base::Duration cancel_lead_;
};

}  // namespace chestnutport::calls

#endif  // CALLS_ADAPTIVE_TIMEOUTS_H_
