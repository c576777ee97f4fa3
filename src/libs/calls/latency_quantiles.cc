#include "calls/latency_quantiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnutport::calls {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr int kBins = 192;
constexpr double kMinLatencySeconds = 20e-6;
constexpr double kMaxLatencySeconds = 60;
constexpr uint32_t kMinSamples = 100;

}  // namespace

LatencyQuantiles::LatencyQuantiles(base::Duration window)
    : window_(window), current_(Empty()), previous_(Empty()) {}

LatencyQuantiles::Counts LatencyQuantiles::Empty() {
  return boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<uint32_t>(),
      Axis(kBins, kMinLatencySeconds, kMaxLatencySeconds));
}

void LatencyQuantiles::Record(base::Duration latency, base::Instant now) {
  if (now >= window_start_ + window_) {
    window_start_ = now;
    std::swap(previous_, current_);
    previous_size_ = std::exchange(current_size_, 0);
    current_.reset();
  }
  current_(std::chrono::duration_cast<Seconds>(latency).count());
  ++current_size_;
}

std::optional<base::Duration> LatencyQuantiles::Quantile(
    double quantile) const {
  const uint32_t size = current_size_ + previous_size_;
  if (size < kMinSamples)
    return std::nullopt;
  const double rank = quantile * size;
  double below = 0;
  // From the underflow bin to the last regular bin.
  for (int bin = -1; bin < kBins; ++bin) {
    below += current_.at(bin) + previous_.at(bin);
    if (below >= rank) {
      const double edge = current_.axis().value(bin + 1);
      return std::chrono::duration_cast<base::Duration>(Seconds(edge));
    }
  }
  return std::chrono::duration_cast<base::Duration>(
      Seconds(kMaxLatencySeconds));
}

}  // namespace chestnutport::calls
