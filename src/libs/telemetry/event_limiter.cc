#include "telemetry/event_limiter.h"

#include <utility>

namespace chestnutport::telemetry {

std::optional<uint64_t> EventLimiter::Admit(Event event, base::Instant now) {
  State& state = states_[event];
  if (now - state.window_start >= kWindow) {
    state.window_start = now;
    state.logged = 0;
  }
  if (state.logged == burst_) {
    ++state.suppressed;
    return std::nullopt;
  }
  ++state.logged;
  return std::exchange(state.suppressed, 0);
}

}  // namespace chestnutport::telemetry
