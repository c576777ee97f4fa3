// State of one incarnation of a simulated ingress, for each service.
#ifndef DECISIONS_INGRESS_RUN_H_
#define DECISIONS_INGRESS_RUN_H_

#include <memory>
#include <vector>

#include "base/random.h"
#include "calls/adaptive_timeouts.h"
#include "calls/call_policy.h"
#include "calls/retry_budget.h"
#include "decisions/choosing_policy.h"

namespace chestnutport::bench {

// Typical values of a service declaration.
inline constexpr double kRetryShare = 0.1;
inline constexpr double kHedgeShare = 0.02;

// The budgets correspond to those in ingress/service_traffic.cc.
template <ChoosingPolicy Policy>
struct ServiceRun {
  explicit ServiceRun(const PolicyContext& context) : policy(context) {}

  Policy policy;
  calls::AdaptiveTimeouts timing;
  calls::RetryBudget retries{kRetryShare, 20};
  calls::RetryBudget hedges{kHedgeShare, 5};
  calls::RetryBudget refusals{0.2, 20};
  calls::RetryBudget status_queries{0.05, 50};
};

template <ChoosingPolicy Policy>
struct IngressRun {
  int vm = 0;
  base::Random random;
  uint64_t origin = 0;
  uint64_t last_attempt = 0;
  calls::RetryBudget node_retries{kRetryShare, 40};
  std::vector<std::unique_ptr<ServiceRun<Policy>>> services;

  calls::CallBudgets Budgets(int service) {
    ServiceRun<Policy>& run = *services[service];
    return {run.retries, node_retries, run.hedges, run.refusals,
            run.status_queries};
  }
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_INGRESS_RUN_H_
