// One caller's request at its ingress node, from its arrival to its answer.
#ifndef INGRESS_ACTIVE_CALL_H_
#define INGRESS_ACTIVE_CALL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/attempt_id.h"
#include "base/node_id.h"
#include "calls/call.h"
#include "ingress/caller_request.h"
#include "ingress/service_traffic.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/reply.h"
#include "routing/server_candidate.h"

namespace chestnutport::ingress {

using CallId = uint64_t;

// An attempt as it was sent.
struct SentAttempt {
  base::AttemptId id;
  routing::ServerCandidate server;
  base::Instant sent_at;
  bool is_suspect = false;  // Whether the request was suspected when sent.
  net::HttpAnswer answer;   // The server's answer, if any.
  std::optional<calls::AttemptEnd> end;  // Set once the attempt ended.
  base::Instant ended_at;                // Valid only if `end` is set.
};

struct ActiveCall {
  CallId id = 0;
  ServiceTraffic* service = nullptr;
  calls::Call call_state;
  base::Instant arrived_at;
  // Made by the local server for a request that it is running.
  bool is_nested = false;
  bool has_token = false;  // Counts against the rate limit of its tenant.
  int hedges = 0;
  CallerRequest request;
  net::Reply reply;
  std::vector<SentAttempt> attempts;  // Indexed by attempt number.
  std::vector<base::NodeId> tried_nodes;
  // Those of `tried_nodes` that returned the call unrun. May be tried again if
  // there is no other.
  std::vector<base::NodeId> returned_by;
  net::EventLoop::TimerId timer = 0;
  base::Instant timer_at;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ACTIVE_CALL_H_
