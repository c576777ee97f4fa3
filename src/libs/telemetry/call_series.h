// What is counted of the callers' requests of one service, tenant and class.
#ifndef TELEMETRY_CALL_SERIES_H_
#define TELEMETRY_CALL_SERIES_H_

#include <array>
#include <cstdint>

#include "telemetry/call_record.h"
#include "telemetry/error_counts.h"
#include "telemetry/latency_histogram.h"
#include "telemetry/series_labels.h"

namespace chestnutport::telemetry {

struct CallSeries {
  static constexpr size_t kOutcomes = 3;

  void Add(const CallRecord& record);

  SeriesLabels labels;
  LatencyHistogram total;
  LatencyHistogram added;  // Without the time that the server took.
  std::array<uint64_t, kOutcomes> outcomes{};  // By base::Outcome.
  ErrorCounts errors;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t moves = 0;
  uint64_t hedges = 0;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_CALL_SERIES_H_
