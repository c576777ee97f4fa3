// Detects that this node's server crashed while it ran requests, and which
// ones. Performs no I/O: observations are passed in with their time.
//
// A server that interrupts one request may still be healthy. It has crashed if
// afterwards its address refuses connections, or a new incarnation replaces it.
// It was then running all requests that it has interrupted since its last
// answer.
#ifndef ADMISSION_SERVER_CRASH_DETECTOR_H_
#define ADMISSION_SERVER_CRASH_DETECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/request_fingerprint.h"
#include "base/time.h"

namespace chestnutport::admission {

// A request that was sent to the server and whose connection was lost before
// the answer was complete.
struct InterruptedRequest {
  base::RequestFingerprint fingerprint;
  bool is_suspect = false;  // As reported by the sending node.
  // Incarnation number of the server, as counted by its node.
  uint64_t life = 0;
  std::string instance;  // Instance id reported by that incarnation.
  // The server was cold and had got more requests than it tolerates.
  bool is_over_cold_rate = false;
  base::Instant started_at;
  base::Instant interrupted_at;
};

class ServerCrashDetector {
 public:
  // After the first sign of a crash, the loss of the other connections is seen
  // within this time: they close together, but a node with a fifth of a core
  // reads them one after the other.
  static constexpr std::chrono::milliseconds kCollectionTime{5};
  // Requests interrupted longer than this before the sign of a crash have
  // another cause. Servers restart within seconds.
  static constexpr std::chrono::seconds kRetention{10};
  // Bounds the memory for a server that interrupts every request.
  static constexpr size_t kMaxInterrupted = 1024;

  void OnInterrupted(const InterruptedRequest& request);
  // The server answered a request or a probe that started at `begun`: it was
  // healthy then, so earlier interruptions had another cause than a crash.
  void OnAnswer(base::Instant begun);
  // The server's address refuses connections.
  void OnConnectionRefused(base::Instant now);
  // A new incarnation of the server has replaced it.
  void OnServerRestarted(base::Instant now);

  // Returns whether requests were interrupted and the cause is not known yet.
  bool IsCrashSuspected() const {
    return !interrupted_.empty() && !crashed_at_;
  }

  // Returns the requests that the server ran when it crashed, after the
  // collection time has passed. Returns each crash once, and nothing if no
  // request was running.
  std::optional<std::vector<InterruptedRequest>> TakeCrash(base::Instant now);

 private:
  void OnCrashDetected(base::Instant now);

  std::vector<InterruptedRequest> interrupted_;
  std::optional<base::Instant> crashed_at_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_CRASH_DETECTOR_H_
