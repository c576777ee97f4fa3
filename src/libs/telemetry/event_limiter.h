// Keeps a repeated event from filling the log.
#ifndef TELEMETRY_EVENT_LIMITER_H_
#define TELEMETRY_EVENT_LIMITER_H_

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"
#include "telemetry/event.h"

namespace chestnutport::telemetry {

// Lets a few lines of each event pass in a window, and counts the others.
// For one thread.
class EventLimiter {
 public:
  static constexpr int kBurst = 10;
  static constexpr std::chrono::seconds kWindow{1};

  // `burst`: lines of each event in a window.
  explicit EventLimiter(int burst = kBurst) : burst_(burst) {}

  // Nothing if the event must not be logged now; else how many were held back
  // since the last one that was.
  std::optional<uint64_t> Admit(Event event, base::Instant now);

 private:
  struct State {
    base::Instant window_start;
    int logged = 0;
    uint64_t suppressed = 0;
  };

  int burst_;
  absl::flat_hash_map<Event, State> states_;
};

}  // namespace chestnutport::telemetry

#endif  // TELEMETRY_EVENT_LIMITER_H_
