// The state of this node's own server, reported by the gate thread to the
// control thread.
#ifndef GATE_GATE_REPORT_H_
#define GATE_GATE_REPORT_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "wire/load_report.h"

namespace chestnutport::gate {

struct GateReport {
  uint64_t life = 0;          // Incarnation number of the server.
  base::Instant cold_until;   // As last reported or assumed.
  base::Instant last_answer;  // To a request or a probe.
  wire::LoadReport load;
  // Requests per second that the server accepts, as it stated; nothing if
  // unlimited.
  std::optional<double> rate_limit;
  bool is_leaving = false;   // The server stated that it shuts down.
  bool is_replaced = false;  // Another instance responded at its address.
  // Age of the server's last slowness report, or zero if there was none;
  // exported as chestnutport_server_word_age_seconds.
  base::Duration slowness_report_age{};
  uint64_t probes = 0;
  base::Duration probe_time{};  // Total server time spent on probes.
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_REPORT_H_
