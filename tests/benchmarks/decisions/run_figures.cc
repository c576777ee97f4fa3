#include "decisions/run_figures.h"

#include <algorithm>
#include <cmath>

namespace chestnutport::bench {
namespace {

double QuantileOf(const std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  return sorted[static_cast<size_t>(std::max(1.0, rank)) - 1];
}

}  // namespace

double RunFigures::Quantile(double share) const {
  return QuantileOf(latencies, share);
}

double RunFigures::QuietQuantile(double share) const {
  return QuantileOf(quiet_latencies, share);
}

double RunFigures::Goodput() const {
  const double possible = std::min(static_cast<double>(calls), capacity);
  return static_cast<double>(answered) / possible;
}

double RunFigures::AttemptsPerCall() const {
  return 1 + static_cast<double>(retried) / static_cast<double>(all_calls);
}

double RunFigures::Amplification() const {
  return leaf_calls == 0 ? 1
                         : static_cast<double>(leaf_attempts) /
                               static_cast<double>(leaf_calls);
}

}  // namespace chestnutport::bench
