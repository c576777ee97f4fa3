// What the admission side says of an attempt that it is asked about.
#ifndef CALLS_ATTEMPT_STATUS_H_
#define CALLS_ATTEMPT_STATUS_H_

namespace chestnutport::calls {

enum class AttemptStatus {
  kNeverRuns,    // It did not run and will not, also if it arrives later.
  kQueued,       // It waits for the server.
  kRunning,      // It was handed to the server.
  kFinished,     // The server's answer came, or its connection was lost.
  kUnknownHere,  // It has not arrived; it may do so later.
  kNoAnswer,     // The node that is meant could not be asked.
};

}  // namespace chestnutport::calls

#endif  // CALLS_ATTEMPT_STATUS_H_
