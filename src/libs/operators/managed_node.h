// What operators see and do of the node that they speak to.
#ifndef OPERATORS_MANAGED_NODE_H_
#define OPERATORS_MANAGED_NODE_H_

#include <functional>
#include <vector>

#include "control_calls/control_caller.h"
#include "evacuation/evacuations.h"
#include "evacuation_store/evacuation_writer.h"
#include "fleet/request_quarantine.h"
#include "fleet_configuration/configuration_keeper.h"
#include "membership/member.h"
#include "operators/metrics_api.h"

namespace chestnutport::operators {

// All that is referred to must outlive it. For the control thread.
struct ManagedNode {
  const membership::Member& self;
  const std::vector<membership::Member>& members;
  // As far as this node knows.
  const evacuation::Evacuations& evacuations;
  fleet_configuration::ConfigurationKeeper& configuration;
  control_calls::ControlCaller& caller;
  fleet::RequestQuarantine& quarantine;
  MetricsApi& metrics;
  // Whether callers should be directed to this node.
  std::function<bool()> is_ready;
  // By an operator's wish, until it is taken back.
  std::function<void(bool draining)> set_draining;
  // Carries out an operator's order.
  std::function<void(const evacuation_store::EvacuationOrder& order,
                     evacuation_store::EvacuationWriter::Handler handler)>
      evacuate;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_MANAGED_NODE_H_
