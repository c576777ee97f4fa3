// Estimate of how long a request takes at present, for decisions whether a
// request can still finish by its deadline. Follows a server that slows down
// within two answers, and one that recovers within about ten.
#ifndef ADMISSION_SERVICE_TIME_ESTIMATOR_H_
#define ADMISSION_SERVICE_TIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <optional>

#include "admission/smoothed_mean.h"
#include "base/time.h"

namespace chestnutport::admission {

class ServiceTimeEstimator {
 public:
  // A request was served in this time.
  void OnServed(base::Duration service_time);
  // A request was stopped or lost after this time: its service time is at least
  // as long.
  void OnInterrupted(base::Duration elapsed);

  // Returns nothing without samples.
  std::optional<base::Duration> Estimate() const;

 private:
  // Smoothing factor: after ten samples the earlier ones hardly count.
  static constexpr double kGain = 0.25;
  static constexpr size_t kLastSamples = 4;

  // Returns the second largest of the last samples. A mean follows a sudden
  // slowdown too slowly, and the largest may be a single long request.
  double SecondLargest() const;

  SmoothedMean mean_{kGain};                 // Seconds.
  std::array<double, kLastSamples> last_{};  // Seconds.
  size_t next_ = 0;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVICE_TIME_ESTIMATOR_H_
