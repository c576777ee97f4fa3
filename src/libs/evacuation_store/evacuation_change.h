// A change by an operator: a data centre is evacuated or readmitted. Has no
// side effects.
#ifndef EVACUATION_STORE_EVACUATION_CHANGE_H_
#define EVACUATION_STORE_EVACUATION_CHANGE_H_

#include <string>

#include "evacuation_store/evacuation_format.h"

namespace chestnutport::evacuation_store {

struct EvacuationChange {
  std::string data_centre;
  bool is_evacuated = true;  // False to readmit it.

  // Returns whether the change is already in effect.
  bool IsInEffect(const DataCentres& current) const;
  // Returns the evacuated data centres after the change, sorted.
  DataCentres Apply(DataCentres current) const;
  // Returns the plan identifier. It contains the change and all data centres
  // evacuated at the time, so that a plan with an outdated base is rejected.
  std::string PlanId(const DataCentres& current) const;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_CHANGE_H_
