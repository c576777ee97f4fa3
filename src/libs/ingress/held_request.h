// A request between its checks and its call.
#ifndef INGRESS_HELD_REQUEST_H_
#define INGRESS_HELD_REQUEST_H_

#include "base/time.h"
#include "ingress/caller_request.h"
#include "net/reply.h"

namespace chestnutport::ingress {

struct HeldRequest {
  CallerRequest request;
  net::Reply reply;
  base::Instant arrived_at;
  bool is_nested = false;  // Made by the local server for a running request.
  bool has_token = false;  // Counts against the rate limit of its tenant.
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_HELD_REQUEST_H_
