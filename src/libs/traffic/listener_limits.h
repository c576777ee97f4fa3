// The limits of the listeners for traffic, as shares of the process's memory.
#ifndef TRAFFIC_LISTENER_LIMITS_H_
#define TRAFFIC_LISTENER_LIMITS_H_

#include <cstddef>

#include "client_limits/listener_limits.h"
#include "net/http_server.h"

namespace chestnutport::traffic {

// For callers. `memory_limit`: bytes that the process may take.
client_limits::ListenerLimits CallerListenerLimits(size_t memory_limit);

// For other nodes. `caller_headers`: bytes of the largest head of a caller's
// request.
client_limits::ListenerLimits PeerListenerLimits(size_t caller_headers);

// Bytes that a process with all listeners takes at most, large bodies of
// operators and the system's buffers of connections that are read aside.
size_t MaxProcessMemory(size_t memory_limit);

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_LISTENER_LIMITS_H_
