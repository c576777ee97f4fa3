// Selects the peers from which a newer configuration is fetched, and when.
#ifndef CONFIGURATION_FETCH_SCHEDULER_H_
#define CONFIGURATION_FETCH_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/node_id.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member.h"

namespace chestnutport::configuration {

// Starts with one peer that reported a newer revision. While it does not
// respond, further peers are tried in parallel (hedging), so that a peer that
// hangs or is unreachable does not delay a revision that others hold.
class FetchScheduler {
 public:
  // If the first bytes of a response have not arrived after this time, another
  // peer is tried. Longer than the first bytes take between two regions, and a
  // small part of the time within which a change has to be in force.
  static constexpr base::Duration kFirstByteHedgeDelay =
      std::chrono::milliseconds(200);
  // If a response is incomplete this long after its first bytes, another peer
  // is tried. A megabyte takes most of a second over a slow link, and a
  // parallel transfer would only slow it down.
  static constexpr base::Duration kTransferHedgeDelay = std::chrono::seconds(1);
  // Limit on the concurrent fetches of one revision, and so on the bytes that
  // are transferred redundantly.
  static constexpr int kMaxConcurrentFetches = 6;
  // Delay after a response that named a newer revision but was incomplete.
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(200);

  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  // Called when `from` has announced that it holds `revision`.
  void OnRevisionReported(uint64_t revision, const membership::Member& from);

  // Returns the peer to fetch from now, because a revision above
  // `local_revision` was reported, and records the fetch as pending until
  // OnResponse() or OnFailed(). Returns null if no fetch is due or no peer is
  // left.
  const membership::Member* SelectPeerWithNewer(uint64_t local_revision,
                                                base::Instant now,
                                                base::Random& random);
  // Returns any peer without a pending fetch and records a fetch as pending.
  // Returns null if there is no such peer.
  const membership::Member* SelectAnyPeer(base::Instant now,
                                          base::Random& random);
  // Returns when to call SelectPeerWithNewer() again unless an event comes
  // first; Instant::max() if only an event can make a fetch due.
  base::Instant NextSelectionAt(uint64_t local_revision) const;

  // Called when the first bytes of a response have arrived.
  void OnTransferStarted(base::NodeId from, base::Instant now);
  // Called when `from` has responded. `revision` is the revision of that peer,
  // `local_revision` that of this node after the response was applied.
  void OnResponse(base::NodeId from,
                  uint64_t revision,
                  uint64_t local_revision,
                  base::Instant now);
  // Called when the fetch from the peer has failed. Its reported revision is
  // dropped until it reports one again.
  void OnFailed(base::NodeId from);

  // Returns the greatest revision that any peer has reported; zero if none.
  uint64_t GreatestReportedRevision() const;
  bool HasPeers() const { return !peers_.empty(); }

 private:
  struct PendingFetch {
    uint64_t expected_revision = 0;  // Zero if no newer one is known.
    base::Instant hedge_at;          // When another peer may be tried.
  };

  // Counts the pending fetches that may return a revision above
  // `local_revision`.
  int CountUsefulFetches(uint64_t local_revision) const;
  // Returns a random peer that satisfies `predicate` and has no pending fetch;
  // null if there is none.
  template <typename Predicate>
  const membership::Member* Pick(Predicate predicate,
                                 base::Random& random) const;
  bool HasReportedAbove(uint64_t local_revision,
                        const membership::Member& member) const;

  std::vector<membership::Member> peers_;  // Alive members except this node.
  // The revision that each peer last reported.
  std::map<base::NodeId, uint64_t> reported_;
  std::map<base::NodeId, PendingFetch> pending_;
  base::Instant retry_at_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FETCH_SCHEDULER_H_
