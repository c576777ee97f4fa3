// What a node knows of evacuations, from the store and from other nodes. The
// store's revisions order all that is heard, whatever way it came. Pure.
#ifndef EVACUATION_HELD_EVACUATIONS_H_
#define EVACUATION_HELD_EVACUATIONS_H_

#include <cstdint>

#include "evacuation/evacuations.h"

namespace chestnutport::evacuation {

class HeldEvacuations {
 public:
  // What this node read from the store. Returns whether others are to be told.
  bool Read(const Evacuations& read);
  // What another node holds. Returns whether others are to be told: it is new
  // here, or older than what this node read itself.
  bool Hear(const Evacuations& heard);

  const Evacuations& held() const { return held_; }

 private:
  Evacuations held_;
  // The store's revision at which this node itself found `held_` true.
  uint64_t read_as_of_ = 0;
};

}  // namespace chestnutport::evacuation

#endif  // EVACUATION_HELD_EVACUATIONS_H_
