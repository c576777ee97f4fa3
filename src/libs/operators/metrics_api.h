// The operators' call for metrics: GET /v1/metrics, with these parameters:
//   format=json  every bucket, for `chestnutport metrics`; else the text
//                exposition format
//   service=S    only this service's series
//   tenant=T     only this tenant's series
#ifndef OPERATORS_METRICS_API_H_
#define OPERATORS_METRICS_API_H_

#include <functional>
#include <string_view>
#include <vector>

#include "net/reply.h"
#include "operators/metrics_collector.h"
#include "telemetry/metrics_report.h"

namespace chestnutport::operators {

// Whether `target` is the path of this call, with a query or without.
bool IsMetricsTarget(std::string_view target);

class MetricsApi {
 public:
  // `control_readings` gives what the control thread counts itself.
  MetricsApi(MetricsCollector& collector,
             std::function<std::vector<telemetry::Reading>()> control_readings);

  // `target` is the path with its query.
  void Answer(std::string_view target, net::Reply reply);

 private:
  MetricsCollector& collector_;
  std::function<std::vector<telemetry::Reading>()> control_readings_;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_METRICS_API_H_
