// What the control thread itself counts, for the metrics.
#ifndef NODE_CONTROL_READINGS_H_
#define NODE_CONTROL_READINGS_H_

#include <vector>

#include "fleet/request_quarantine.h"
#include "fleet_configuration/configuration_manager.h"
#include "gate/gate_report.h"
#include "membership/gossip_counters.h"
#include "membership/member.h"
#include "store/store_call_counts.h"
#include "telemetry/metrics_report.h"

namespace chestnutport::node {

struct ControlCounts {
  const std::vector<membership::Member>& members;
  const fleet_configuration::ConfigurationManager& configuration;
  const store::StoreCallCounts& store_calls;
  const gate::GateReport& gate;
  const membership::GossipCounters& gossip;
  const fleet::RequestQuarantine& quarantine;
};

// To be called on the control thread: reads its processor time.
std::vector<telemetry::Reading> ReadControl(const ControlCounts& counts);

}  // namespace chestnutport::node

#endif  // NODE_CONTROL_READINGS_H_
