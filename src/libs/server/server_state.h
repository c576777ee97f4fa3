// What the control thread tells the gate thread about this node's own server.
#ifndef SERVER_SERVER_STATE_H_
#define SERVER_SERVER_STATE_H_

#include <cstdint>
#include <string>

#include "admission/admission_controller.h"
#include "admission/probe_scheduler.h"
#include "base/socket_address.h"
#include "base/time.h"

namespace chestnutport::server {

struct ServerState {
  bool announced = false;
  std::string service;
  base::SocketAddress address;
  uint64_t life = 0;        // Counts up with each start of the server.
  std::string instance;     // Names the start, if the server says so.
  std::string health_path;  // To probe; empty: the server is not probed.
  admission::AdmissionOptions admission;
  admission::ProbeOptions probes;
  bool draining = false;
  // Counts up with each evacuation of the data centre that has ended.
  uint64_t evacuations = 0;
  // Until when the server is cold, and when it, or its gate, said so.
  base::Instant cold_until;
  base::Instant cold_told_at;

  bool TakesWork() const { return announced && !draining; }
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_STATE_H_
