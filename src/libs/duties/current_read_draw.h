// Limits how many of the nodes that start together ask the store for its
// current state. The others accept a state that may be some seconds old, which
// is cheaper and which the store need not count. Does no I/O; random numbers
// are passed in.
#ifndef DUTIES_CURRENT_READ_DRAW_H_
#define DUTIES_CURRENT_READ_DRAW_H_

#include "base/random.h"

namespace chestnutport::duties {

// For a node that knows no other member. It cannot know how many others are in
// the same situation, so the first drawn probability is small and doubles with
// each stale response: in a fleet of any size some node reads the current state
// soon, and a node that stays alone does so after kStaleReads.
class CurrentReadDraw {
 public:
  static constexpr int kStaleReads = 6;

  // Returns whether the next read has to be current.
  bool Draw(base::Random& random) const;
  // Whether Draw() returns true in any case.
  bool IsCertain() const { return probability_ >= 1; }
  // Called after a response that may be stale and did not end the search.
  void OnStaleResponse();
  // Called when other members are known: a later search starts anew.
  void Reset() { probability_ = kFirstProbability; }

 private:
  static constexpr double kFirstProbability = 1.0 / (1 << kStaleReads);

  double probability_ = kFirstProbability;
};

}  // namespace chestnutport::duties

#endif  // DUTIES_CURRENT_READ_DRAW_H_
