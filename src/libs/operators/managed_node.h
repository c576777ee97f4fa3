// The part of a node's state and functions that the operators' API uses.
#ifndef OPERATORS_MANAGED_NODE_H_
#define OPERATORS_MANAGED_NODE_H_

#include <functional>
#include <vector>

#include "control_calls/control_caller.h"
#include "evacuation/evacuations.h"
#include "evacuation_store/evacuation_writer.h"
#include "fleet/request_quarantine.h"
#include "fleet_configuration/configuration_manager.h"
#include "limit_service/limit_report.h"
#include "limits/tenant_limiter.h"
#include "membership/member.h"
#include "operators/metrics_api.h"

namespace chestnutport::operators {

// All referenced objects must outlive this one. Used on the control thread.
struct ManagedNode {
  const membership::Member& self;
  const std::vector<membership::Member>& members;
  // As known to this node.
  const evacuation::Evacuations& evacuations;
  fleet_configuration::ConfigurationManager& configuration;
  control_calls::ControlCaller& caller;
  fleet::RequestQuarantine& quarantine;
  MetricsApi& metrics;
  // Whether callers should send requests to this node.
  std::function<bool()> is_ready;
  // Starts or ends a drain on behalf of an operator. The drain lasts until it
  // is ended by the same function.
  std::function<void(bool draining)> set_draining;
  // Executes an operator's evacuation request.
  std::function<void(const evacuation_store::EvacuationRequest& order,
                     evacuation_store::EvacuationWriter::Handler handler)>
      evacuate;
  // Passes what the ingress holds of the tenants' limits to `handler`, on the
  // control thread.
  std::function<void(
      std::function<void(std::vector<limits::TenantLimiterView>)> handler)>
      read_limiter;
  std::function<limit_service::LimitReport()> read_limits;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_MANAGED_NODE_H_
