// An attempt as received by the gate from another node's ingress.
#ifndef GATE_GATE_ARRIVAL_H_
#define GATE_GATE_ARRIVAL_H_

#include <cstddef>
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
  std::optional<base::Instant> target;  // The answer loses value after it.
  // A capacity inquiry; the request itself is sent later.
  bool is_inquiry = false;
  size_t body_bytes = 0;  // Of the request; only for an inquiry.
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_ARRIVAL_H_
