// The current performance of the server behind a gate: how slow its VM is, as
// reported by the server, and the share of requests that fail.
//
// A neighbour on the same VM may slow a server down several times for some
// hundred milliseconds, and a faulty server may fail requests while its health
// check passes. The gate sees both first, because it sees every answer.
#ifndef ADMISSION_SERVER_PERFORMANCE_H_
#define ADMISSION_SERVER_PERFORMANCE_H_

#include <optional>

#include "base/time.h"

namespace chestnutport::admission {

class ServerPerformance {
 public:
  // The server reported its slowness: current service time divided by the usual
  // one.
  void OnSlowness(double slowness, base::Instant now);
  // A request that was sent to the server succeeded or failed.
  void OnResult(bool is_good, base::Instant now);
  // A probe timed out, although probes are usually answered at once.
  void OnProbeTimeout(base::Instant now);
  // Call when another server, or a new incarnation of it, has taken over.
  void Reset() { *this = ServerPerformance(); }

  // Returns the last reported slowness, or 1 if the report is too old.
  double Slowness(base::Instant now) const;
  // Returns the age of the last slowness report, or nothing if there was none.
  std::optional<base::Duration> SlownessAge(base::Instant now) const;
  // Returns the share of failures among recent results; decays with time.
  double FailureShare(base::Instant now) const;
  // Returns the expected cost of a successful answer as a multiple of the usual
  // work: the slowness, divided by the success rate.
  double Strain(base::Instant now) const;
  // Returns the strain, or nothing if the last slowness report is too old, or
  // if there was neither a report nor a result. Treating a missing report as a
  // good one would make every server that does report slowness look degraded to
  // other nodes.
  std::optional<double> KnownStrain(base::Instant now) const;
  // Returns whether a request would do better at another server, given the
  // usual strain of the service. If all servers are equally slow or faulty, no
  // other server is better.
  bool IsDegraded(base::Instant now, double usual_strain = 1) const;

 private:
  double slowness_ = 1;
  base::Instant slowness_at_;
  double failures_ = 0;
  base::Instant failures_at_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_PERFORMANCE_H_
