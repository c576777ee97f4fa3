// Gathers the metrics of the traffic threads on the control thread: asks each
// for copies, a part at a time, so that no thread reads another's state and no
// traffic is held up for long.
#ifndef OPERATORS_METRICS_COLLECTOR_H_
#define OPERATORS_METRICS_COLLECTOR_H_

#include <functional>
#include <memory>
#include <vector>

#include "net/event_loop.h"
#include "telemetry/metrics_report.h"
#include "telemetry/traffic_metrics.h"

namespace chestnutport::operators {

// For the control thread only. Must outlive its collections.
class MetricsCollector {
 public:
  using Handler = std::function<void(telemetry::MetricsReport)>;

  // What a traffic thread tells. Called on the thread of `loop`.
  struct Source {
    net::EventLoop& loop;
    std::function<const telemetry::TrafficMetrics*()> metrics;
    std::function<telemetry::Reading()> in_flight;
  };

  MetricsCollector(net::EventLoop& control_loop, std::vector<Source> sources);

  // Calls `handler` later, on the control thread.
  void Collect(Handler handler);

 private:
  struct Collection;

  void AskSource(std::shared_ptr<Collection> collection);
  static void CopyPart(const Source& source, Collection& collection);

  net::EventLoop& control_loop_;
  std::vector<Source> sources_;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_METRICS_COLLECTOR_H_
