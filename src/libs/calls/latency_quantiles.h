// Estimates quantiles of recent latencies.
#ifndef CALLS_LATENCY_QUANTILES_H_
#define CALLS_LATENCY_QUANTILES_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <optional>
#include <tuple>
#include <vector>

#include "base/time.h"

namespace chestnutport::calls {

// Histogram with logarithmic bins from 20 us to 60 s, each 8% wide. Covers the
// current and the previous window, so that the quantiles follow a change within
// two windows.
class LatencyQuantiles {
 public:
  explicit LatencyQuantiles(base::Duration window);

  void Record(base::Duration latency, base::Instant now);
  // Returns the upper edge of the bin that holds the quantile, or nullopt while
  // there are fewer than 100 samples. `quantile` is between 0 and 1.
  std::optional<base::Duration> Quantile(double quantile) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<uint32_t>>;

  static Counts Empty();

  base::Duration window_;
  base::Instant window_start_{};
  Counts current_;
  Counts previous_;
  uint32_t current_size_ = 0;
  uint32_t previous_size_ = 0;
};

}  // namespace chestnutport::calls

#endif  // CALLS_LATENCY_QUANTILES_H_
