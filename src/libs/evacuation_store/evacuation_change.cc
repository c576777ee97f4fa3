#include "evacuation_store/evacuation_change.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace chestnutport::evacuation_store {

bool EvacuationChange::IsInEffect(const DataCentres& current) const {
  const bool is_listed =
      std::ranges::find(current, data_centre) != current.end();
  return is_listed == is_evacuated;
}

DataCentres EvacuationChange::Apply(DataCentres current) const {
  std::erase(current, data_centre);
  if (is_evacuated)
    current.push_back(data_centre);
  std::ranges::sort(current);
  return current;
}

std::string EvacuationChange::PlanId(const DataCentres& current) const {
  DataCentres sorted = current;
  std::ranges::sort(sorted);
  return absl::StrCat(is_evacuated ? "evacuate-" : "readmit-", data_centre,
                      "-beside-",
                      sorted.empty() ? "none" : absl::StrJoin(sorted, "+"));
}

}  // namespace chestnutport::evacuation_store
