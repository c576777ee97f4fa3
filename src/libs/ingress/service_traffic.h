// State of a service on the ingress thread that is kept across snapshots.
#ifndef INGRESS_SERVICE_TRAFFIC_H_
#define INGRESS_SERVICE_TRAFFIC_H_

#include "calls/adaptive_timeouts.h"
#include "calls/call_policy.h"
#include "calls/fleet_retry_limit.h"
#include "calls/retry_budget.h"
#include "declarations/service_declaration.h"
#include "ingress/caller_request.h"
#include "routing/server_chooser.h"
#include "traffic/node_identity.h"

namespace chestnutport::ingress {

class ServiceTraffic {
 public:
  // `node_retries` is shared by all services and must outlive this object.
  ServiceTraffic(const traffic::NodeIdentity& identity,
                 calls::RetryBudget& node_retries);

  void SetDeclaration(const declarations::ServiceDeclaration& declaration);
  // From now on limits retries and hedges by this node's share of the
  // fleet-wide limit instead of by the declaration.
  void SetRetryLimit(const calls::NodeRetryLimit& limit);

  // Returns the policy of a call that begins now.
  calls::CallPolicy Policy(const CallerRequest& request);
  calls::CallBudgets Budgets();

  routing::ServerChooser& chooser() { return chooser_; }
  calls::AdaptiveTimeouts& timeouts() { return timeouts_; }

 private:
  routing::ServerChooser chooser_;
  calls::RetryBudget& node_retries_;
  calls::RetryBudget retries_;
  calls::RetryBudget hedges_;
  calls::RetryBudget refusals_;
  calls::RetryBudget status_queries_;
  calls::AdaptiveTimeouts timeouts_;
  double hedge_budget_ = 0;
  bool has_fleet_limit_ = false;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_SERVICE_TRAFFIC_H_
