// What the gate thread tells the control thread about this node's own server.
#ifndef GATE_GATE_REPORT_H_
#define GATE_GATE_REPORT_H_

#include <cstdint>

#include "base/time.h"
#include "wire/load_report.h"

namespace chestnutport::gate {

struct GateReport {
  uint64_t life = 0;          // Of the server that this tells of.
  base::Instant cold_until;   // As far as the gate knows.
  base::Instant last_answer;  // Of the server, to a request or a probe.
  wire::LoadReport load;
  base::Duration
      slowness_report_age{};  // Of what the server last said of its pace.
  uint64_t probes = 0;
  base::Duration probe_time{};  // The server's time spent on them, in all.
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_REPORT_H_
