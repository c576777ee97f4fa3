// An attempt as it came to a gate from its ingress.
#ifndef GATE_GATE_ARRIVAL_H_
#define GATE_GATE_ARRIVAL_H_

#include <optional>

#include "base/time.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "wire/peer_request_head.h"

namespace chestnutport::gate {

struct GateArrival {
  wire::PeerRequestHead head;
  net::HttpRequest request;
  net::Reply reply;
  base::Instant arrived_at;
  base::Instant deadline;
  std::optional<base::Instant> target;  // An answer is worth less after it.
  bool is_inquiry = false;  // Asks for a place; the request itself follows.
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_ARRIVAL_H_
