// Tells that this node's server has ended while it ran requests, and which.
// Pure: what is seen of the server comes in with its time.
//
// A server that breaks off one request may be well. It has ended if after that
// nobody listens at its address, or another start of it takes its place. All
// that it broke off since it last answered, it ran when it ended.
#ifndef ADMISSION_SERVER_CRASH_DETECTOR_H_
#define ADMISSION_SERVER_CRASH_DETECTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/request_fingerprint.h"
#include "base/time.h"

namespace chestnutport::admission {

// A request that the server got and broke off.
struct InterruptedRequest {
  base::RequestFingerprint fingerprint;
  bool is_suspect = false;  // By the word of the node that sent it.
  uint64_t life = 0;        // Of the server that ran it, as its node counts.
  std::string instance;     // How that life names itself.
  // The server was cold, and had got more than it tolerates.
  bool is_over_cold_rate = false;
  base::Instant started_at;
  base::Instant interrupted_at;
};

class ServerCrashDetector {
 public:
  // After the first sign of its end, what else it ran is found broken within
  // this time: the ends of its connections come together, but are read one
  // after the other by a node that has a fifth of a core.
  static constexpr std::chrono::milliseconds kCollectionTime{5};
  // What was broken off longer before a sign of the end has another cause.
  // Servers start again within seconds.
  static constexpr std::chrono::seconds kRetention{10};
  // Kept of what is broken off, so that a server that breaks off everything
  // costs no more.
  static constexpr size_t kMaxInterrupted = 1024;

  void OnInterrupted(const InterruptedRequest& request);
  // The server answered a request or a probe that was begun at `begun`: it was
  // well then, whatever it had broken off before.
  void OnAnswer(base::Instant begun);
  // Nobody listens at the server's address.
  void OnConnectionRefused(base::Instant now);
  // Another start of the server took its place.
  void OnServerRestarted(base::Instant now);

  // Something was broken off, and it is not known yet why.
  bool IsCrashSuspected() const {
    return !interrupted_.empty() && !crashed_at_;
  }

  // What the server ran when it ended, once all of that is known. Once for each
  // end; nothing if it ran nothing.
  std::optional<std::vector<InterruptedRequest>> TakeCrash(base::Instant now);

 private:
  void OnCrashDetected(base::Instant now);

  std::vector<InterruptedRequest> interrupted_;
  std::optional<base::Instant> crashed_at_;
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_CRASH_DETECTOR_H_
