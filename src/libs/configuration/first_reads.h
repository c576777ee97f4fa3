// Decides which reads of a starting node may return a state that is some
// seconds old, so that a fleet which starts at once costs the store little.
#ifndef CONFIGURATION_FIRST_READS_H_
#define CONFIGURATION_FIRST_READS_H_

#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "duties/current_read_draw.h"

namespace chestnutport::configuration {

// Reads may be stale while the node has known no other member since its start,
// and shortly after: it knows few of the members then, and takes itself for one
// of the readers. Later it may be the last node that serves, and must not miss
// a change.
class FirstReads {
 public:
  // Time from the first known member until most of the others are known.
  static constexpr base::Duration kSettlingTime = std::chrono::seconds(1);

  // Without `may_be_stale` all reads are current.
  explicit FirstReads(bool may_be_stale) : may_be_stale_(may_be_stale) {}

  // Called when the members have changed.
  void OnMembers(bool is_alone, base::Instant now) {
    if (!is_alone && !first_contact_)
      first_contact_ = now;
  }
  // Whether the node knows others, but not yet most of them.
  bool IsSettling(base::Instant now) const {
    return may_be_stale_ && first_contact_ &&
           now - *first_contact_ < kSettlingTime;
  }
  bool NextMayBeStale(base::Instant now, base::Random& random) const {
    if (first_contact_)
      return IsSettling(now);
    return may_be_stale_ && !current_reads_.Draw(random);
  }
  void OnStaleResponse() { current_reads_.OnStaleResponse(); }

 private:
  bool may_be_stale_;
  std::optional<base::Instant> first_contact_;
  duties::CurrentReadDraw current_reads_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FIRST_READS_H_
