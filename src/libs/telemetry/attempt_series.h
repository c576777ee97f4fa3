// What a gate counts of the attempts of one service, tenant and class.
#ifndef TELEMETRY_ATTEMPT_SERIES_H_
#define TELEMETRY_ATTEMPT_SERIES_H_

#include <cstdint>

#include "telemetry/call_record.h"
#include "telemetry/error_counts.h"
#include "telemetry/latency_histogram.h"
#include "telemetry/series_labels.h"

namespace chestnutport::telemetry {

struct AttemptSeries {
  void Add(const AttemptRecord& record) {
    if (record.error)
      errors.Count(*record.error);
    rate_limited += record.is_rate_limited;
    queued.Record(record.queued);
    if (record.serving)
      serving.Record(*record.serving);
  }

  SeriesLabels labels;
  LatencyHistogram queued;
  LatencyHistogram serving;  // Of attempts that were handed to the server.
  ErrorCounts errors;
  uint64_t rate_limited = 0;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_ATTEMPT_SERIES_H_
