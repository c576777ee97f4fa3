// The mean of samples, in which older ones count less and less.
#ifndef ADMISSION_SMOOTHED_MEAN_H_
#define ADMISSION_SMOOTHED_MEAN_H_

#include <algorithm>
#include <cstdint>

namespace chestnutport::admission {

class SmoothedMean {
 public:
  // `gain`: the weight of one sample once there are many. The first ones weigh
  // alike: were the first the mean, it would take sixty more to make up for it
  // at a gain of 0.05.
  explicit SmoothedMean(double gain) : gain_(gain) {}

  void Add(double sample) {
    ++count_;
    const double weight = 1.0 / static_cast<double>(count_);
    mean_ += std::max(gain_, weight) * (sample - mean_);
  }

  // Zero without samples.
  double mean() const { return mean_; }
  int64_t count() const { return count_; }

 private:
  double gain_;
  double mean_ = 0;
  int64_t count_ = 0;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SMOOTHED_MEAN_H_
