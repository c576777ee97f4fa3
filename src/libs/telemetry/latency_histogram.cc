#include "telemetry/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chestnutport::telemetry {
namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100;
constexpr int kBuckets =
    LatencyHistogram::kBucketsPerDecade * LatencyHistogram::kDecades;

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

base::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(
          std::make_tuple(Axis(kBuckets, kLowestSeconds, kHighestSeconds))) {}

void LatencyHistogram::Record(base::Duration duration) {
  const base::Duration value = std::max(duration, base::Duration::zero());
  counts_(ToSeconds(value));
  ++count_;
  sum_ += value;
}

base::Duration LatencyHistogram::Quantile(double share) const {
  if (count_ == 0)
    return base::Duration::zero();
  const double wanted = share * static_cast<double>(count_);
  double below = 0;
  // Bucket -1 holds what is under the lowest edge, kBuckets what is over.
  for (int bucket = -1; bucket < kBuckets; ++bucket) {
    const auto here = static_cast<double>(counts_.at(bucket));
    if (here > 0 && below + here >= wanted) {
      if (bucket < 0)
        return FromSeconds(kLowestSeconds);
      const double place = bucket + (wanted - below) / here;
      return FromSeconds(axis().value(place));
    }
    below += here;
  }
  return FromSeconds(kHighestSeconds);
}

std::vector<CumulativeBucket> LatencyHistogram::Cumulative(int stride) const {
  std::vector<CumulativeBucket> buckets;
  buckets.reserve(kBuckets / stride + 2);
  uint64_t below = counts_.at(-1);
  for (int edge = 0; edge <= kBuckets; ++edge) {
    if (edge > 0)
      below += counts_.at(edge - 1);
    if (edge % stride == 0)
      buckets.push_back({axis().value(edge), below});
  }
  buckets.push_back({std::numeric_limits<double>::infinity(), count_});
  return buckets;
}

}  // namespace chestnutport::telemetry
