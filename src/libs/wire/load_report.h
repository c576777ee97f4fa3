// The load of one server, as its own node counts it.
#ifndef WIRE_LOAD_REPORT_H_
#define WIRE_LOAD_REPORT_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace chestnutport::wire {

// Travels on every answer between nodes.
struct LoadReport {
  int in_flight = 0;  // Requests that the server is running.
  int limit = 0;      // Requests that it may run at a time, as adapted.
  int queued = 0;     // Requests that wait for it.
  // What one more request would wait before it runs.
  base::Duration expected_wait{};
  // How many times the usual work a good answer costs there, as last known: its
  // VM may be slow, and answers that fail cost work too. Nothing: not known.
  std::optional<double> strain;

  std::string ToHeader() const;
  static std::optional<LoadReport> FromHeader(std::string_view text);
};

}  // namespace chestnutport::wire

#endif  // WIRE_LOAD_REPORT_H_
