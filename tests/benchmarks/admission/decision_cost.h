// Measures the cost of an admission decision by queue length.
#ifndef ADMISSION_DECISION_COST_H_
#define ADMISSION_DECISION_COST_H_

#include <optional>

namespace chestnutport::bench {

struct DecisionCost {
  double nanoseconds = 0;  // Per request: its arrival and its end.
  double allocations = 0;
};

// Measures with a queue that stays `queued` long, over 16 tenants, at a server
// that states the rate limit `stated_rate` in requests per second.
DecisionCost MeasureDecisionCost(int queued,
                                 std::optional<double> stated_rate = {});

}  // namespace chestnutport::bench

#endif  // ADMISSION_DECISION_COST_H_
