// The evacuations known to this node, from the store and from peers. Updates
// are ordered by the store's revision, regardless of their source. Has no side
// effects.
#ifndef EVACUATION_LOCAL_EVACUATIONS_H_
#define EVACUATION_LOCAL_EVACUATIONS_H_

#include <cstdint>

#include "evacuation/evacuations.h"

namespace chestnutport::evacuation {

class LocalEvacuations {
 public:
  // Applies the evacuations that this node has read from the store. Returns
  // whether the evacuations have to be announced to the other nodes.
  bool OnStoreRead(const Evacuations& read);
  // Applies the evacuations reported by a peer. Returns whether the evacuations
  // of this node have to be announced: the peer's are newer than those of this
  // node, or older than those that this node has read from the store.
  bool OnPeerReport(const Evacuations& reported);

  const Evacuations& current() const { return current_; }

 private:
  Evacuations current_;
  // The store's revision at which this node itself last confirmed `current_`.
  uint64_t store_read_as_of_ = 0;
};

}  // namespace chestnutport::evacuation

#endif  // EVACUATION_LOCAL_EVACUATIONS_H_
