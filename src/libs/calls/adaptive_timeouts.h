// Derives the hedge delay, the status query delay and the cancel lead of a
// service's calls from recent latencies.
#ifndef CALLS_ADAPTIVE_TIMEOUTS_H_
#define CALLS_ADAPTIVE_TIMEOUTS_H_

#include "base/time.h"
#include "calls/call_policy.h"
#include "calls/latency_quantiles.h"

namespace chestnutport::calls {

class AdaptiveTimeouts {
 public:
  AdaptiveTimeouts();

  // Records the latency of an attempt that the server answered.
  void OnAnswer(base::Duration latency, base::Instant now);
  // Records the round trip of a status query or cancellation.
  void OnStatusReply(base::Duration round_trip, base::Instant now);

  // Sets the delays in `policy`. `hedge_budget`: the share of calls, the
  // slowest ones, that are to be hedged; zero disables hedging.
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
