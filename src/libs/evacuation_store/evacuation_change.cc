#include "evacuation_store/evacuation_change.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace chestnutport::evacuation_store {

bool EvacuationChange::IsDone(const DataCentres& now) const {
  const bool is_listed = std::ranges::find(now, data_centre) != now.end();
  return is_listed == is_evacuated;
}

DataCentres EvacuationChange::Apply(DataCentres now) const {
  std::erase(now, data_centre);
  if (is_evacuated)
    now.push_back(data_centre);
  std::ranges::sort(now);
  return now;
}

std::string EvacuationChange::PlanId(const DataCentres& now) const {
  DataCentres sorted = now;
  std::ranges::sort(sorted);
  return absl::StrCat(is_evacuated ? "evacuate-" : "readmit-", data_centre,
                      "-beside-",
                      sorted.empty() ? "none" : absl::StrJoin(sorted, "+"));
}

}  // namespace chestnutport::evacuation_store
