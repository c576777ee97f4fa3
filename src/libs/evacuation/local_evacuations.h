// What a node knows of evacuations, from the store and from other nodes. The
// store's revisions order all that is heard, whatever way it came. Pure.
#ifndef EVACUATION_LOCAL_EVACUATIONS_H_
#define EVACUATION_LOCAL_EVACUATIONS_H_

#include <cstdint>

#include "evacuation/evacuations.h"

namespace chestnutport::evacuation {

class LocalEvacuations {
 public:
  // What this node read from the store. Returns whether others are to be told.
  bool OnStoreRead(const Evacuations& read);
  // What another node holds. Returns whether others are to be told: it is new
  // here, or older than what this node read itself.
  bool OnPeerReport(const Evacuations& reported);

  const Evacuations& current() const { return current_; }

 private:
  Evacuations current_;
  // The store's revision at which this node itself found `current_` true.
  uint64_t store_read_as_of_ = 0;
};

}  // namespace chestnutport::evacuation

#endif  // EVACUATION_LOCAL_EVACUATIONS_H_
