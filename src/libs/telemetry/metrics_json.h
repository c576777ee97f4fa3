// Writes metrics as JSON with every bucket, for the operators' command.
#ifndef TELEMETRY_METRICS_JSON_H_
#define TELEMETRY_METRICS_JSON_H_

#include <string>

#include "telemetry/metrics_report.h"

namespace chestnutport::telemetry {

// {"histograms": [{"metric", "service", "tenant", "class", "count",
//   "sum_seconds", "p50_seconds", "p90_seconds", "p99_seconds",
//   "p999_seconds", "buckets": [[upper_seconds, count], ...]}, ...],
//  "counts": [{"metric", "service", "tenant", "class", "label", "value"}, ...],
//  "readings": [{"metric", "label", "value"}, ...]}
// A bucket's count is its own, not cumulative; empty buckets are left out, and
// the last upper end is null if it is infinite. Empty histograms and counts of
// zero are left out.
std::string WriteMetricsJson(const MetricsReport& report);

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_METRICS_JSON_H_
