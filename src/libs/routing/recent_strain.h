// Estimates the usual strain of a service's servers from recent load reports.
// Strain: the work that a successful answer costs, relative to normal.
//
// Servers are compared with this instead of with 1: when all VMs of a fleet
// have just started, every server is cold, and one that is as slow as the
// others is not a poor choice.
#ifndef ROUTING_RECENT_STRAIN_H_
#define ROUTING_RECENT_STRAIN_H_

#include <array>
#include <cstddef>

namespace chestnutport::routing {

class RecentStrain {
 public:
  // Records the strain reported by one server's gate.
  void OnReport(double strain);

  // Returns the 12.5th percentile of the recent reports, at least 1. The
  // percentile is low because slow servers return work and so report more
  // often: with a third of the servers slow, six of ten reports come from them.
  double usual() const { return usual_; }

 private:
  // Enough reports that an eighth of them is more than one, and few enough that
  // the estimate of a node with about ten requests per second follows a change
  // within one second.
  static constexpr size_t kMaxReports = 12;

  std::array<double, kMaxReports> reports_{};
  size_t count_ = 0;  // Of all reports, including those overwritten.
  double usual_ = 1;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_RECENT_STRAIN_H_
