// Counts of durations in log-spaced buckets, by Boost.Histogram.
#ifndef TELEMETRY_LATENCY_HISTOGRAM_H_
#define TELEMETRY_LATENCY_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "base/time.h"

namespace chestnutport::telemetry {

// How many values were at most `upper`.
struct CumulativeBucket {
  double upper_seconds = 0;  // Infinite for the last one.
  uint64_t count = 0;
};

// Buckets from 10 us to 100 s, twelve to a decade: a quantile is exact to 21%.
// Copies are independent. Recording allocates nothing.
class LatencyHistogram {
 public:
  LatencyHistogram();

  // A negative duration counts as zero.
  void Record(base::Duration duration);

  uint64_t count() const { return count_; }
  base::Duration sum() const { return sum_; }

  // The value that `share` (0 to 1) of all values do not pass, interpolated in
  // its bucket; zero if nothing was recorded.
  base::Duration Quantile(double share) const;

  // The buckets with their ends at every `stride`-th edge, then infinity.
  std::vector<CumulativeBucket> Cumulative(int stride) const;

  static constexpr int kBucketsPerDecade = 12;
  static constexpr int kDecades = 7;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log,
                                      boost::histogram::axis::null_type>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<uint64_t>>;

  const Axis& axis() const { return counts_.axis(); }

  Counts counts_;
  uint64_t count_ = 0;
  base::Duration sum_{};
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_LATENCY_HISTOGRAM_H_
