// What this node has learned of a service as a whole: the measure that each of
// its servers is held against.
#ifndef ROUTING_SERVICE_ESTIMATE_H_
#define ROUTING_SERVICE_ESTIMATE_H_

#include "base/time.h"
#include "routing/recent_strain.h"

namespace chestnutport::routing {

// Seconds, as the scores are sums and products of times.
using Seconds = std::chrono::duration<double>;

class ServiceEstimate {
 public:
  // Of an attempt that was answered well.
  void OnAnswer(Seconds latency);
  // Of a load report: what a server has from other nodes, as a share of its
  // slots.
  void OnLoadFromOtherNodes(double share);

  // Of a load report: how many times the usual work a good answer costs.
  void OnStrain(double strain) { strain_.OnReport(strain); }

  // What an answer usually takes.
  Seconds typical_latency() const { return typical_latency_; }
  // The usual load that other nodes put on a server, as a share of its slots.
  double typical_load_from_other_nodes() const {
    return typical_load_from_other_nodes_;
  }
  // How many times the usual work a good answer costs as a rule just now.
  double usual_strain() const { return strain_.usual(); }

 private:
  Seconds typical_latency_{0.01};  // A guess until answers come.
  double typical_load_from_other_nodes_ = 0;
  RecentStrain strain_;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVICE_ESTIMATE_H_
