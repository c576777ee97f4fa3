// The status of an attempt, as the gate that admits it reports it in reply to
// a status query or a cancellation (method attempt.settle between nodes).
#ifndef CALLS_ATTEMPT_STATUS_H_
#define CALLS_ATTEMPT_STATUS_H_

namespace chestnutport::calls {

enum class AttemptStatus {
  kNeverRuns,  // Has not run and never will, even if it arrives later.
  kQueued,     // Waits for a slot of the server.
  kRunning,    // Was handed to the server.
  kFinished,   // Sent to the server, and answered, lost, timed out or stopped.
  kUnknownHere,  // No record: may still arrive, or may have run.
  kNoAnswer,     // The gate could not be reached or did not reply.
};

}  // namespace chestnutport::calls

#endif  // CALLS_ATTEMPT_STATUS_H_
