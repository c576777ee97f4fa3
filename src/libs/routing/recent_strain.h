// How much work a good answer of a service costs as a rule just now, from what
// the gates of its servers reported last.
//
// After all VMs of a fleet started, every server is cold, and none is a poor
// choice for being as slow as the rest.
#ifndef ROUTING_RECENT_STRAIN_H_
#define ROUTING_RECENT_STRAIN_H_

#include <array>
#include <cstddef>

namespace chestnutport::routing {

class RecentStrain {
 public:
  // A gate said that a good answer costs `strain` times the usual work.
  void OnReport(double strain);

  // What an eighth of the recent reports do not exceed; at least 1. So few,
  // because servers under a busy neighbour hand work back and so report more
  // often: with a third of the servers slow, six reports of ten say so.
  double usual() const { return usual_; }

 private:
  // Reports kept: enough for an eighth of them to be more than one, few enough
  // that a node with some ten requests a second notices a change within one.
  static constexpr size_t kMaxReports = 12;

  std::array<double, kMaxReports> reports_{};
  size_t count_ = 0;  // Of all reports, also those not kept any more.
  double usual_ = 1;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_RECENT_STRAIN_H_
