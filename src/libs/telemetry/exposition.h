// Writes metrics in the text exposition format of Prometheus, version 0.0.4.
#ifndef TELEMETRY_EXPOSITION_H_
#define TELEMETRY_EXPOSITION_H_

#include <string>

#include "telemetry/metrics_report.h"

namespace chestnutport::telemetry {

inline constexpr char kExpositionType[] = "text/plain; version=0.0.4";

// Series that never had a record are left out. Histograms have three buckets a
// decade: a scrape of many series stays small.
std::string WriteExposition(const MetricsReport& report);

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_EXPOSITION_H_
