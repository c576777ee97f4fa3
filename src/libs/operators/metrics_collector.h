// Collects the metrics of the traffic threads on the control thread. Each
// traffic thread copies its metrics page by page, so that no thread reads
// another thread's state and traffic is delayed only briefly.
#ifndef OPERATORS_METRICS_COLLECTOR_H_
#define OPERATORS_METRICS_COLLECTOR_H_

#include <functional>
#include <memory>
#include <vector>

#include "net/event_loop.h"
#include "telemetry/metrics_report.h"
#include "telemetry/traffic_metrics.h"

namespace chestnutport::operators {

// Used on the control thread only. Must outlive the collections in progress.
class MetricsCollector {
 public:
  using Handler = std::function<void(telemetry::MetricsReport)>;

  // Metrics of one traffic thread. The functions are called on the thread of
  // `loop`.
  struct Source {
    net::EventLoop& loop;
    std::function<const telemetry::TrafficMetrics*()> metrics;
    std::function<telemetry::Reading()> in_flight;
    std::function<std::vector<telemetry::Reading>()> readings;  // Further ones.
  };

  MetricsCollector(net::EventLoop& control_loop, std::vector<Source> sources);

  // Starts a collection. Calls `handler` with the result on the control thread.
  void Collect(Handler handler);

 private:
  struct Collection;

  void CollectNext(std::shared_ptr<Collection> collection);
  static void CopyNextPage(const Source& source, Collection& collection);

  net::EventLoop& control_loop_;
  std::vector<Source> sources_;
};

}  // namespace chestnutport::operators

#endif  // OPERATORS_METRICS_COLLECTOR_H_
