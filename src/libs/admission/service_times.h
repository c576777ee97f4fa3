// Service times of a server's requests by kind of work. Requests of one kind
// take about as long as each other, whichever tenant and urgency they have.
#ifndef ADMISSION_SERVICE_TIMES_H_
#define ADMISSION_SERVICE_TIMES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/service_time_estimator.h"
#include "admission/smoothed_mean.h"
#include "base/time.h"

namespace chestnutport::admission {

using WorkId = int;

class ServiceTimes {
 public:
  // Returns the id of a kind of work. The number of kinds is bounded, so that
  // made-up names cannot exhaust memory: above the bound, new ones share an id.
  WorkId IdFor(std::string_view kind);

  void OnServed(WorkId work, base::Duration service_time);
  // A request was stopped or lost after this time: its service time is at least
  // as long.
  void OnInterrupted(WorkId work, base::Duration elapsed);

  // Both return nothing if no request of this kind was served yet. The recent
  // one follows a server that slows down; see ServiceTimeEstimator.
  std::optional<base::Duration> Mean(WorkId work) const;
  std::optional<base::Duration> Recent(WorkId work) const;

 private:
  static constexpr double kMeanGain = 0.05;  // Smoothing factor.
  static constexpr size_t kMaxKinds = 256;

  struct Times {
    SmoothedMean mean{kMeanGain};  // Seconds.
    ServiceTimeEstimator recent;
  };

  std::vector<Times> times_;
  absl::flat_hash_map<std::string, WorkId> ids_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVICE_TIMES_H_
