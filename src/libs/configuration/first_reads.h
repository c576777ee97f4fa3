// Decides which reads of a starting node may return a state that is some
// seconds old, so that a fleet which starts at once costs the store little.
#ifndef CONFIGURATION_FIRST_READS_H_
#define CONFIGURATION_FIRST_READS_H_

#include "base/random.h"
#include "duties/current_read_draw.h"

namespace chestnutport::configuration {

// Reads may be stale while the node has known no other member since its start.
// Later it may be the last node that serves, and must not miss a change.
class FirstReads {
 public:
  // A store that counts stale reads is asked for current ones only.
  explicit FirstReads(bool counts_stale_reads)
      : may_be_stale_(!counts_stale_reads) {}

  // Called when the members have changed.
  void OnMembers(bool is_alone) { may_be_stale_ = may_be_stale_ && is_alone; }
  bool NextMayBeStale(base::Random& random) const {
    return may_be_stale_ && !current_reads_.Draw(random);
  }
  void OnStaleResponse() { current_reads_.OnStaleResponse(); }

 private:
  bool may_be_stale_;
  duties::CurrentReadDraw current_reads_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FIRST_READS_H_
