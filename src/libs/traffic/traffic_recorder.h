// Where a traffic thread tells how a request ended: counts it, and logs the
// error that was given. Each traffic thread has one of its own.
#ifndef TRAFFIC_TRAFFIC_RECORDER_H_
#define TRAFFIC_TRAFFIC_RECORDER_H_

#include "declarations/configuration.h"
#include "telemetry/traffic_metrics.h"

namespace chestnutport::traffic {

class TrafficRecorder {
 public:
  // Series exist for declared names only. Cheap if the revision is the same.
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
