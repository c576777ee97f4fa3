// The metrics of one traffic thread. Each thread has its own; the control
// thread asks for copies, part by part, and adds them up.
#ifndef TELEMETRY_TRAFFIC_METRICS_H_
#define TELEMETRY_TRAFFIC_METRICS_H_

#include <cstdint>
#include <vector>

#include "telemetry/attempt_series.h"
#include "telemetry/call_record.h"
#include "telemetry/call_series.h"
#include "telemetry/series_table.h"

namespace chestnutport::telemetry {

class TrafficMetrics {
 public:
  // Series in a table; bounds the memory whatever callers and operators do.
  static constexpr size_t kCapacity = 2000;

  explicit TrafficMetrics(size_t capacity = kCapacity)
      : calls_(capacity), attempts_(capacity) {}

  void SetDeclared(const std::vector<DeclaredLabels>& declared) {
    calls_.SetDeclared(declared);
    attempts_.SetDeclared(declared);
  }

  // Allocates nothing but for the first record of a series.
  void Record(const CallRecord& record) {
    calls_.At(record.service, record.tenant, record.traffic_class).Add(record);
  }
  void Record(const AttemptRecord& record) {
    attempts_.At(record.service, record.tenant, record.traffic_class)
        .Add(record);
  }

  const SeriesTable<CallSeries>& calls() const { return calls_; }
  const SeriesTable<AttemptSeries>& attempts() const { return attempts_; }

 private:
  SeriesTable<CallSeries> calls_;
  SeriesTable<AttemptSeries> attempts_;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_TRAFFIC_METRICS_H_
