// What an operator asks for: that a data centre is evacuated, or no more. Pure.
#ifndef EVACUATION_STORE_EVACUATION_CHANGE_H_
#define EVACUATION_STORE_EVACUATION_CHANGE_H_

#include <string>

#include "evacuation_store/evacuation_format.h"

namespace chestnutport::evacuation_store {

struct EvacuationChange {
  std::string data_centre;
  bool is_evacuated = true;  // False: its servers are to take work again.

  // Whether nothing is left to do.
  bool IsInEffect(const DataCentres& current) const;
  // What is evacuated afterwards, in order.
  DataCentres Apply(DataCentres current) const;
  // Names the change and all that is evacuated when it is planned, so that a
  // plan cannot be confirmed that was made of something else.
  std::string PlanId(const DataCentres& current) const;
};

}  // namespace chestnutport::evacuation_store

#endif  // EVACUATION_STORE_EVACUATION_CHANGE_H_
