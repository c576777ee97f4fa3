#include "routing/service_estimate.h"

#include <algorithm>

namespace chestnutport::routing {
namespace {

constexpr double kSmoothingWeight = 0.02;
// Limits the effect of a single very slow answer, in multiples of the typical
// latency, so that slow servers do not appear normal.
constexpr double kMaxOverTypical = 4;

}  // namespace

void ServiceEstimate::OnAnswer(Seconds latency) {
  const Seconds bounded = std::min(latency, typical_latency_ * kMaxOverTypical);
  typical_latency_ += kSmoothingWeight * (bounded - typical_latency_);
}

void ServiceEstimate::OnLoadFromOtherNodes(double share) {
  typical_load_from_other_nodes_ +=
      kSmoothingWeight * (share - typical_load_from_other_nodes_);
}

}  // namespace chestnutport::routing
