// The state of an attempt at the gate.
#ifndef ADMISSION_ATTEMPT_STATE_H_
#define ADMISSION_ATTEMPT_STATE_H_

#include <string_view>

namespace chestnutport::admission {

enum class AttemptState {
  kNeverRuns,  // Refused, or cancelled, perhaps before it arrived.
  kQueued,
  kRunning,   // Handed to the server.
  kFinished,  // Sent to the server, and answered, lost, timed out or stopped.
  kUnknown,   // No record, or its record was dropped: it may have run.
};

// Returns the name used between nodes.
constexpr std::string_view ToString(AttemptState state) {
  switch (state) {
    case AttemptState::kNeverRuns:
      return "never-runs";
    case AttemptState::kQueued:
      return "queued";
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kFinished:
      return "finished";
    case AttemptState::kUnknown:
      return "unknown-here";
  }
  return "unknown-here";
}

}  // namespace chestnutport::admission

#endif  // ADMISSION_ATTEMPT_STATE_H_
