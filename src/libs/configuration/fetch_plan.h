// Which other nodes are asked for a newer configuration, and when.
#ifndef CONFIGURATION_FETCH_PLAN_H_
#define CONFIGURATION_FETCH_PLAN_H_

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
class FetchPlan {
 public:
  // For the first bytes of an answer. Longer than they take between two
  // regions, and a small part of the time in which a change has to be in force.
  static constexpr base::Duration kPatience = std::chrono::milliseconds(200);
  // For the rest of it: a megabyte over a slow link takes most of a second, and
  // a second copy beside it would only slow it down.
  static constexpr base::Duration kAnswerPatience = std::chrono::seconds(1);
  // Nodes that are asked for one revision at once: bounds the bytes that arrive
  // more than once.
  static constexpr int kMostAsked = 6;
  // After an answer that named a newer revision and lacked a part of it.
  static constexpr base::Duration kRetryWait = std::chrono::milliseconds(200);

  void SetMembers(const membership::Member& self,
                  const std::vector<membership::Member>& members);
  // `from` holds `revision`.
  void OnHeard(uint64_t revision, const membership::Member& from);

  // The node to ask now because a revision above `held` was heard of; null:
  // none for now. It counts as asked until it answers or fails.
  const membership::Member* AskNewer(uint64_t held,
                                     base::Instant now,
                                     base::Random& random);
  // Any node that is not being asked; null: there is none.
  const membership::Member* AskAny(base::Instant now, base::Random& random);
  // When AskNewer() is due again if nothing happens before.
  base::Instant NextNewer(uint64_t held) const;

  // The first bytes of an answer came.
  void OnAnswering(base::NodeId from, base::Instant now);
  // `revision`: held by the node that answered; `held`: here, after the answer.
  void OnAnswer(base::NodeId from,
                uint64_t revision,
                uint64_t held,
                base::Instant now);
  // It is asked again once it is heard again.
  void OnFailed(base::NodeId from);

  // The greatest revision that any other node was heard to hold.
  uint64_t GreatestHeard() const;
  bool HasOthers() const { return !others_.empty(); }

 private:
  struct Question {
    uint64_t expected = 0;        // The revision hoped for; zero: none.
    base::Instant patient_until;  // Nobody is asked beside it before.
  };

  // Questions that may bring a revision above `held`.
  int CountPromising(uint64_t held) const;
  // One of those that are not being asked and fit; null if there is none.
  template <typename Fits>
  const membership::Member* Pick(Fits fits, base::Random& random) const;
  bool IsKnownToHoldAbove(uint64_t held,
                          const membership::Member& member) const;

  std::vector<membership::Member> others_;  // Alive, without this node.
  // The revisions that other nodes were last heard to hold.
  std::map<base::NodeId, uint64_t> heard_;
  std::map<base::NodeId, Question> asked_;
  base::Instant not_before_;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_FETCH_PLAN_H_
