// State of the local server, which the control thread sends to the gate thread.
#ifndef SERVER_SERVER_STATE_H_
#define SERVER_SERVER_STATE_H_

#include <chrono>
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
  // Incarnation number. Incremented with each new incarnation, and if the
  // server announces itself after a withdrawal or with another address.
  uint64_t life = 0;
  std::string instance;  // Instance name, if the server sends one.
  std::chrono::milliseconds started_at{};  // Since the epoch; zero if unknown.
  std::string health_path;                 // Not probed if empty.
  admission::AdmissionOptions admission;
  admission::ProbeOptions probes;
  double link_rate = 0;  // Bits per second of the VM's link; zero if unknown.
  bool draining = false;
  // Number of evacuations of the data centre that have ended.
  uint64_t evacuations = 0;
  // End of the cold phase, and when the server or the gate reported it.
  base::Instant cold_until;
  base::Instant cold_reported_at;

  bool AcceptsRequests() const { return announced && !draining; }
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_STATE_H_
