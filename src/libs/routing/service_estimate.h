// Estimates of a service as a whole, with which each of its servers is
// compared.
#ifndef ROUTING_SERVICE_ESTIMATE_H_
#define ROUTING_SERVICE_ESTIMATE_H_

#include "base/time.h"
#include "routing/recent_strain.h"

namespace chestnutport::routing {

// Floating-point seconds, because scores are sums and products of times.
using Seconds = std::chrono::duration<double>;

class ServiceEstimate {
 public:
  // Records the latency of a successful attempt.
  void OnAnswer(Seconds latency);
  // Records, from a load report, the load that other nodes put on a server, as
  // a share of its slots.
  void OnLoadFromOtherNodes(double share);

  // Records the strain from a load report.
  void OnStrain(double strain) { strain_.OnReport(strain); }

  // Moving average of the latency of successful attempts.
  Seconds typical_latency() const { return typical_latency_; }
  // Moving average of the load that other nodes put on a server, as a share of
  // its slots.
  double typical_load_from_other_nodes() const {
    return typical_load_from_other_nodes_;
  }
  // The current usual strain of the servers; see RecentStrain.
  double usual_strain() const { return strain_.usual(); }

 private:
  Seconds typical_latency_{0.01};  // Initial value before any answer.
  double typical_load_from_other_nodes_ = 0;
  RecentStrain strain_;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVICE_ESTIMATE_H_
