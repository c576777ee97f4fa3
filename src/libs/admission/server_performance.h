// How well the server beside a gate does its work at this moment: how slow its
// VM is, by its own word, and what share of its requests it fails.
//
// A neighbour on the same VM may slow a server down several times for some
// hundred milliseconds, and a faulty server may fail requests while its health
// check is good. Both are known first at the gate, which sees every answer.
#ifndef ADMISSION_SERVER_PERFORMANCE_H_
#define ADMISSION_SERVER_PERFORMANCE_H_

#include <optional>

#include "base/time.h"

namespace chestnutport::admission {

class ServerPerformance {
 public:
  // The server said how many times longer than usual its work takes.
  void OnSlowness(double slowness, base::Instant now);
  // A request that was handed to the server was answered well, or not.
  void OnResult(bool is_good, base::Instant now);
  // A probe had no answer in time though it is answered at once as a rule.
  void OnProbeTimeout(base::Instant now);
  // Another server, or another life of it, is there from now on.
  void Reset() { *this = ServerPerformance(); }

  // What was last said, while it is recent; else 1.
  double Slowness(base::Instant now) const;
  // How old the server's last word on its slowness is; nothing: there is none.
  std::optional<base::Duration> SlownessAge(base::Instant now) const;
  // Of the recent results, the share that was no good; forgotten with time.
  double FailureShare(base::Instant now) const;
  // How many times the usual work a good answer costs, as failures cost it too.
  double Strain(base::Instant now) const;
  // The strain, if it is known at `now`; nothing: the server's last word is too
  // old, or there was neither a word nor a result. Others that took no word for
  // a good one would hold every server that tells its slowness for a poor one.
  std::optional<double> KnownStrain(base::Instant now) const;
  // Whether a request does better at another server, if the strain of those is
  // `usual_strain` as a rule: when all servers fail or are slow alike, looking
  // for a better one is in vain.
  bool IsDegraded(base::Instant now, double usual_strain = 1) const;

 private:
  double slowness_ = 1;
  base::Instant slowness_at_;
  double failures_ = 0;
  base::Instant failures_at_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_PERFORMANCE_H_
