// Results of one run of the benchmark.
#ifndef DECISIONS_RUN_FIGURES_H_
#define DECISIONS_RUN_FIGURES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutport::bench {

struct RunFigures {
  // Latencies of the successful calls in milliseconds, sorted.
  std::vector<double> latencies;
  // Those of the tenants without a burst.
  std::vector<double> quiet_latencies;
  int64_t calls = 0;
  int64_t all_calls = 0;  // With those of the warm-up.
  int64_t answered = 0;   // Successful within the deadline.
  int64_t failed = 0;     // The server answered with a failure.
  int64_t refused = 0;    // Reported to the caller as "not run".
  int64_t unknown = 0;    // Reported to the caller as possibly run.
  int64_t retried = 0;    // Attempts beyond the first, without hedges.
  int64_t hedged = 0;
  int64_t probes = 0;
  int64_t refused_after_fault = 0;  // Of calls a second after the fault's end.
  // Longest time from a call to its refusal, in milliseconds.
  double slowest_refusal = 0;
  int64_t leaf_calls = 0;  // Calls at the last level.
  int64_t leaf_attempts = 0;
  // Calls that ran twice, ran but were reported as "not run", or did not get
  // exactly one answer.
  int64_t wrong = 0;
  double capacity = 0;  // Calls that the fleet could answer in the run.

  double Quantile(double share) const;
  double QuietQuantile(double share) const;
  // Returns the successful calls as a share of the calls made or of the
  // capacity.
  double Goodput() const;
  double Amplification() const;
  // Returns the attempts per call, hedges not included.
  double AttemptsPerCall() const;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_RUN_FIGURES_H_
