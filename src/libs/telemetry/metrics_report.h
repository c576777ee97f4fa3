// All metrics of a node at one time, added up over its threads.
#ifndef TELEMETRY_METRICS_REPORT_H_
#define TELEMETRY_METRICS_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "telemetry/attempt_series.h"
#include "telemetry/call_series.h"
#include "telemetry/metric.h"

namespace chestnutport::telemetry {

// The value of a metric that is not kept by service. `label` is the value of
// the metric's one label; empty if it has none.
struct Reading {
  Metric metric;
  std::string label;
  double value = 0;
};

struct MetricsReport {
  std::vector<CallSeries> calls;
  std::vector<AttemptSeries> attempts;
  std::vector<Reading> readings;

  // Drops the series of other services and tenants; an empty name keeps all.
  void Keep(std::string_view service, std::string_view tenant);
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_METRICS_REPORT_H_
