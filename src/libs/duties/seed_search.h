// Schedules how a node without known members looks for the fleet: which
// listings of the seed entries it requests from the store, and how often it
// pings its contacts. Does no I/O; random numbers are passed in.
//
// A listing that may be some seconds old is cheaper than a current one. Where
// the store does not count it towards its rate limit, it needs no jitter, and a
// node that joins a running fleet requests no other kind. Of nodes that start a
// fleet together, few request a current one; see CurrentReadDraw.
#ifndef DUTIES_SEED_SEARCH_H_
#define DUTIES_SEED_SEARCH_H_

#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "duties/current_read_draw.h"

namespace chestnutport::duties {

class SeedSearch {
 public:
  // Nodes that start together spread their first listings over this time, or
  // over a part of the longest wait if that is shorter.
  static constexpr std::chrono::seconds kStartJitter{2};
  // Interval between the listings of a node that maintains an entry.
  static constexpr std::chrono::seconds kListingInterval{5};

  enum class Listing { kMayBeStale, kLatest };

  // `longest_wait` limits the time between two listings of a node that is
  // alone.
  SeedSearch(bool counts_stale_reads, base::Duration longest_wait);

  // Returns the delay before the first listing.
  base::Duration FirstDelay(base::Random& random) const;
  // Returns the kind of the next listing. A stale one suffices for a node that
  // maintains an entry, since its write checks the revision.
  Listing NextListing(bool is_alone, base::Random& random);
  // Called after a listing that may be stale, by a node that was alone then.
  void OnStaleListing() { current_listings_.OnStaleResponse(); }
  // Returns the delay before the next listing. It grows for a node that remains
  // alone and makes current listings only.
  base::Duration NextDelay(bool is_alone, base::Random& random);
  // Returns the delay before the second listing if the first one may be stale
  // and had no seeds: the fleet may have started since. It is short for the few
  // nodes whose second listing is current.
  base::Duration DelayAfterEmptyListing(base::Random& random);

  // Restarts the ping intervals, as there are new contacts.
  void ResetPingInterval();
  // Returns the delay before the contacts are pinged again.
  base::Duration NextPingInterval();

 private:
  base::Duration DrawJitter(base::Random& random) const;
  base::Duration FirstBackoff() const;

  bool counts_stale_reads_;
  base::Duration longest_wait_;
  bool has_listed_ = false;
  std::optional<bool> is_next_current_;  // If it was drawn before.
  CurrentReadDraw current_listings_;
  base::Duration backoff_;
  base::Duration ping_interval_;
};

}  // namespace chestnutport::duties

#endif  // DUTIES_SEED_SEARCH_H_
