// How a node that knows of no other looks for the fleet: which listings of the
// seed entries it asks the store for, and how often it greets those it was told
// of. Pure: nothing is sent here, and random numbers are passed in.
//
// A listing that may be some seconds old is cheaper than one of now and, where
// the store does not count it toward its rate, needs no spreading. A start
// beside a running fleet needs no other.
#ifndef DUTIES_SEED_SEARCH_H_
#define DUTIES_SEED_SEARCH_H_

#include "base/random.h"
#include "base/time.h"

namespace chestnutport::duties {

class SeedSearch {
 public:
  // Nodes that start together spread their first listings over this time, or
  // over a part of the longest wait if that is shorter.
  static constexpr std::chrono::seconds kStartSpread{2};
  // Between two listings of a node that keeps an entry.
  static constexpr std::chrono::seconds kDutyInterval{5};

  enum class Listing { kMayBeStale, kLatest };

  // `longest_wait`: between two listings of a node that is alone.
  SeedSearch(bool counts_stale_listings, base::Duration longest_wait);

  // Until the first listing.
  base::Duration FirstWait(base::Random& random) const;
  // The listing to be made now. For a duty that comes round an old one will do:
  // a write checks the revision.
  Listing Next(bool is_alone);
  // Until the next listing.
  base::Duration Wait(bool is_alone, base::Random& random);
  // The same after an old listing that named nobody: the fleet may have started
  // since.
  base::Duration WaitAfterNobody(base::Random& random) const;

  // Greeting begins anew, as there is somebody else to greet.
  void RestartGreeting();
  // Until those that were greeted are greeted again.
  base::Duration NextGreeting();

 private:
  base::Duration DrawSpread(base::Random& random) const;
  base::Duration FirstBackoff() const;

  bool counts_old_listings_;
  base::Duration longest_wait_;
  bool has_listed_ = false;
  base::Duration backoff_;
  base::Duration greeting_;
};

}  // namespace chestnutport::duties

#endif  // DUTIES_SEED_SEARCH_H_
