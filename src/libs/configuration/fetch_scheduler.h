// Which other nodes are asked for a newer configuration, and when.
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

// Asks one node that was heard to hold a newer revision. While it is silent,
// others are asked beside it: a node that froze or was cut off must not keep
// back what others hold.
class FetchScheduler {
 public:
  // For the first bytes of an answer. Longer than they take between two
  // regions, and a small part of the time in which a change has to be in force.
  static constexpr base::Duration kFirstByteHedgeDelay =
      std::chrono::milliseconds(200);
  // For the rest of it: a megabyte over a slow link takes most of a second, and
  // a second copy beside it would only slow it down.
  static constexpr base::Duration kTransferHedgeDelay = std::chrono::seconds(1);
  // Nodes that are asked for one revision at once: bounds the bytes that arrive
  // more than once.
  static constexpr int kMaxConcurrentFetches = 6;
  // After an answer that named a newer revision and lacked a part of it.
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(200);

  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  // `from` holds `revision`.
  void OnRevisionReported(uint64_t revision, const membership::Member& from);

  // The node to ask now because a revision above `held` was heard of; null:
  // none for now. It counts as asked until it answers or fails.
  const membership::Member* SelectPeerWithNewer(uint64_t local_revision,
                                                base::Instant now,
                                                base::Random& random);
  // Any node that is not being asked; null: there is none.
  const membership::Member* SelectAnyPeer(base::Instant now,
                                          base::Random& random);
  // When SelectPeerWithNewer() is due again if nothing happens before.
  base::Instant NextSelectionAt(uint64_t local_revision) const;

  // The first bytes of an answer came.
  void OnTransferStarted(base::NodeId from, base::Instant now);
  // `revision`: held by the node that answered; `held`: here, after the answer.
  void OnResponse(base::NodeId from,
                  uint64_t revision,
                  uint64_t local_revision,
                  base::Instant now);
  // It is asked again once it is heard again.
  void OnFailed(base::NodeId from);

  // The greatest revision that any other node was heard to hold.
  uint64_t GreatestReportedRevision() const;
  bool HasPeers() const { return !peers_.empty(); }

 private:
  struct PendingFetch {
    uint64_t expected_revision = 0;  // The revision hoped for; zero: none.
    base::Instant hedge_at;          // Nobody is asked beside it before.
  };

  // Questions that may bring a revision above `held`.
  int CountUsefulFetches(uint64_t local_revision) const;
  // One of those that are not being asked and fit; null if there is none.
  template <typename Predicate>
  const membership::Member* Pick(Predicate predicate,
                                 base::Random& random) const;
  bool HasReportedAbove(uint64_t local_revision,
                        const membership::Member& member) const;

  std::vector<membership::Member> peers_;  // Alive, without this node.
  // The revisions that other nodes were last heard to hold.
  std::map<base::NodeId, uint64_t> reported_;
  std::map<base::NodeId, PendingFetch> pending_;
  base::Instant retry_at_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FETCH_SCHEDULER_H_
