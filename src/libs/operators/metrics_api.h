// Handler of GET /v1/metrics of the operators' API. Query parameters:
//   format=json  JSON with all histogram buckets, for `chestnutport metrics`;
//                otherwise the text exposition format
//   service=S    only the series of this service
//   tenant=T     only the series of this tenant
#ifndef OPERATORS_METRICS_API_H_
#define OPERATORS_METRICS_API_H_

#include <functional>
#include <string_view>
#include <vector>

#include "net/reply.h"
#include "operators/metrics_collector.h"
#include "telemetry/metrics_report.h"

namespace chestnutport::operators {

// Whether `target` is the metrics path, with or without a query.
bool IsMetricsTarget(std::string_view target);

class MetricsApi {
 public:
  // `control_readings` returns the metrics of the control thread.
  MetricsApi(MetricsCollector& collector,
             std::function<std::vector<telemetry::Reading>()> control_readings);

  // Sends the report that the query in `target` selects.
  void Answer(std::string_view target, net::Reply reply);

 private:
  MetricsCollector& collector_;
  std::function<std::vector<telemetry::Reading>()> control_readings_;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_METRICS_API_H_
