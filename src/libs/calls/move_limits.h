// How often gates may return a call unrun, because of the state of their
// servers, before one has to accept it.
#ifndef CALLS_MOVE_LIMITS_H_
#define CALLS_MOVE_LIMITS_H_

namespace chestnutport::calls {

struct MoveLimits {
  // Returns because the server is slow or fails requests.
  int if_degraded = 0;
  // Returns because the server has no free slot. Lower, because all servers may
  // be full: each move then costs an exchange on busy links and processors
  // without any gain.
  int if_full = 0;
};

// At any time a quarter to a third of a fleet's servers are slow, so the
// probability that seven in a row are is at most 1 in 1,500. A move takes two
// to five milliseconds. Where most servers are full, the queue of the second is
// as short as that of the sixth, and further moves would only use up the time
// to the latency target.
inline constexpr MoveLimits kDefaultMoveLimits{.if_degraded = 7, .if_full = 1};

}  // namespace chestnutport::calls

#endif  // CALLS_MOVE_LIMITS_H_
