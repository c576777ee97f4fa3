// Collects the metrics of the control thread.
#ifndef NODE_CONTROL_METRICS_H_
#define NODE_CONTROL_METRICS_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/direct_counters.h"
#include "fleet/request_quarantine.h"
#include "fleet_configuration/configuration_manager.h"
#include "gate/gate_report.h"
#include "membership/gossip_counters.h"
#include "membership/member.h"
#include "store/store_call_counts.h"
#include "telemetry/metrics_report.h"

namespace chestnutport::node {

struct ControlMetricSources {
  const std::vector<membership::Member>& members;
  const fleet_configuration::ConfigurationManager& configuration;
  const store::StoreCallCounts& store_calls;
  const gate::GateReport& gate;
  const membership::GossipCounters& gossip;
  const fleet::DirectCounters& direct;
  const fleet::RequestQuarantine& quarantine;
  std::optional<base::Duration> proof_age;
  bool is_limit_allocator = false;
};

// Call on the control thread: reads the CPU time of the calling thread.
std::vector<telemetry::Reading> CollectControlMetrics(
    const ControlMetricSources& counts);

}  // namespace chestnutport::node

#endif  // NODE_CONTROL_METRICS_H_
