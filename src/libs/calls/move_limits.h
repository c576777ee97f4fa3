// How often one call may be handed back, unrun, by gates whose servers are in a
// poor state before one has to take it.
#ifndef CALLS_MOVE_LIMITS_H_
#define CALLS_MOVE_LIMITS_H_

namespace chestnutport::calls {

struct MoveLimits {
  // While servers are slow or fail.
  int if_degraded = 0;
  // While servers are full as well. Fewer, because all of them may be: then
  // each move is one more exchange for nothing, on links and processors that
  // are busy too.
  int if_full = 0;
};

// A quarter to a third of a fleet's servers is slow at a time: the chance that
// seven in a row are is one in 1,500 at most. A move takes two to five
// milliseconds. Where most servers are full, the queue of the second is as good
// as that of the sixth, and the time to the target is not spent on the way.
inline constexpr MoveLimits kDefaultMoveLimits{.if_degraded = 7, .if_full = 1};

}  // namespace chestnutport::calls

#endif  // CALLS_MOVE_LIMITS_H_
