// Exponentially weighted moving average.
#ifndef ADMISSION_SMOOTHED_MEAN_H_
#define ADMISSION_SMOOTHED_MEAN_H_

#include <algorithm>
#include <cstdint>

namespace chestnutport::admission {

class SmoothedMean {
 public:
  // `gain`: the smoothing factor, the weight of a new sample once there are
  // many. The first samples have equal weight: if the first one alone set the
  // mean, it would take sixty more to correct it at a gain of 0.05.
  explicit SmoothedMean(double gain) : gain_(gain) {}

  void Add(double sample) {
    ++count_;
    const double weight = 1.0 / static_cast<double>(count_);
    mean_ += std::max(gain_, weight) * (sample - mean_);
  }

  // The mean, or 0 without samples.
  double mean() const { return mean_; }
  int64_t count() const { return count_; }

 private:
  double gain_;
  double mean_ = 0;
  int64_t count_ = 0;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SMOOTHED_MEAN_H_
