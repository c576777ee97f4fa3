#include "admission/service_time_estimator.h"

#include <algorithm>
#include <functional>

namespace chestnutport::admission {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

void ServiceTimeEstimator::OnServed(base::Duration service_time) {
  const double seconds = Seconds(service_time).count();
  mean_.Add(seconds);
  last_[next_++ % kLastSamples] = seconds;
}

void ServiceTimeEstimator::OnInterrupted(base::Duration elapsed) {
  if (Seconds(elapsed).count() > mean_.mean())
    OnServed(elapsed);
}

std::optional<base::Duration> ServiceTimeEstimator::Estimate() const {
  if (mean_.count() == 0)
    return std::nullopt;
  return std::chrono::duration_cast<base::Duration>(
      Seconds(std::max(mean_.mean(), SecondLargest())));
}

double ServiceTimeEstimator::SecondLargest() const {
  auto sorted = last_;
  std::ranges::sort(sorted, std::greater<>());
  return sorted[1];
}

}  // namespace chestnutport::admission
