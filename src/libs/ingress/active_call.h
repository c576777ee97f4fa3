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
  bool is_suspect = false;               // What was sent then was one.
  net::HttpAnswer answer;                // The server's, once it came.
  std::optional<calls::AttemptEnd> end;  // Once it ended.
  base::Instant ended_at;                // Of no meaning before that.
};

struct ActiveCall {
  CallId id = 0;
  ServiceTraffic* service = nullptr;
  calls::Call state_machine;
  base::Instant arrived_at;
  bool is_nested = false;  // Made by this node's server for one that it runs.
  int hedges = 0;
  CallerRequest request;
  net::Reply reply;
  std::vector<SentAttempt> attempts;  // By their numbers.
  std::vector<base::NodeId> tried_nodes;
  std::vector<base::NodeId> returned_by;  // Of them: unrun, and may be asked
                                          // again when there is no other.
  net::EventLoop::TimerId timer = 0;
  base::Instant timer_at;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_ACTIVE_CALL_H_
