#include "admission/service_times.h"

#include "base/text.h"

namespace chestnutport::admission {

WorkId ServiceTimes::IdFor(std::string_view kind) {
  const auto found = ids_.find(base::AbslView(kind));
  if (found != ids_.end())
    return found->second;
  if (times_.size() < kMaxKinds)
    times_.emplace_back();
  const WorkId id = static_cast<WorkId>(times_.size()) - 1;
  if (ids_.size() < kMaxKinds)
    ids_.emplace(kind, id);
  return id;
}

void ServiceTimes::OnServed(WorkId work, base::Duration service_time) {
  times_[work].mean.Add(std::chrono::duration<double>(service_time).count());
  times_[work].recent.OnServed(service_time);
}

void ServiceTimes::OnInterrupted(WorkId work, base::Duration elapsed) {
  times_[work].recent.OnInterrupted(elapsed);
}

std::optional<base::Duration> ServiceTimes::Mean(WorkId work) const {
  if (times_[work].mean.count() == 0)
    return std::nullopt;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(times_[work].mean.mean()));
}

std::optional<base::Duration> ServiceTimes::Recent(WorkId work) const {
  return times_[work].recent.Estimate();
}

}  // namespace chestnutport::admission
