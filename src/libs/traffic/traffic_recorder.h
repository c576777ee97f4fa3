// Records how requests ended: updates the metrics and logs errors. Each traffic
// thread has its own.
#ifndef TRAFFIC_TRAFFIC_RECORDER_H_
#define TRAFFIC_TRAFFIC_RECORDER_H_

#include "declarations/configuration.h"
#include "telemetry/traffic_metrics.h"

namespace chestnutport::traffic {

class TrafficRecorder {
 public:
  // Metric series exist only for declared names. Cheap if the revision is
  // unchanged.
  void SetConfiguration(const declarations::Configuration& configuration);

  void Record(const telemetry::CallRecord& record);
  void Record(const telemetry::AttemptRecord& record);

  const telemetry::TrafficMetrics& metrics() const { return metrics_; }

 private:
  uint64_t revision_ = 0;
  telemetry::TrafficMetrics metrics_;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_TRAFFIC_RECORDER_H_
