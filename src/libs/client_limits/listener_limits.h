// What a listener reads and keeps for its clients.
#ifndef CLIENT_LIMITS_LISTENER_LIMITS_H_
#define CLIENT_LIMITS_LISTENER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <limits>

namespace chestnutport::client_limits {

// Bytes that a connection may take for one request without its body.
inline constexpr size_t kFreeRequestBytes = 4 * 1024;

struct ListenerLimits {
  size_t largest_headers = 32 * 1024;  // Bytes; larger ones are refused.
  size_t largest_body = 1024 * 1024;   // Bytes; a larger one is refused.
  // Bytes of the large bodies of all requests at hand, and of the small ones.
  // What does not fit is not read, for a time; then it is refused.
  size_t large_bodies = 2 * 1024 * 1024;
  size_t small_bodies = 1024 * 1024;
  // Bytes of the requests at hand without their bodies, beside
  // kFreeRequestBytes for one of each connection. Others wait behind the
  // answers of their connection, or as bodies do.
  size_t heads = 1024 * 1024;
  // Bytes received that are not part of a request yet. Beyond it the connection
  // with most of them is refused.
  size_t input = 2 * 1024 * 1024;
  // Requests that wait for memory; further ones are refused at once.
  size_t waiting_requests = 64;
  // Bytes of answers that are kept for slow callers. Beyond it, a streamed one
  // may have kMinAnswerBuffer, and connections whose answers are not read are
  // closed.
  size_t answers = 8 * 1024 * 1024;
  // A request with a longer body, of a known length, is handed on before the
  // body is read; see net::Reply::ReadBody().
  size_t stream_above = std::numeric_limits<size_t>::max();
  // How long a request may wait for memory, unless a BodyPolicy decides.
  std::chrono::milliseconds body_wait{1000};
  // Beyond it, a connection that is kept without a request, or that does not
  // send its request or read its answer, is closed for each new one; if there
  // is none, new ones wait to be accepted.
  unsigned int connections = 1024;
  // A connection on which nothing moves, or that is kept without a request,
  // for this long is closed.
  std::chrono::seconds idle{60};
  // A caller that has not sent a whole request by then is cut off.
  std::chrono::seconds to_send_request{30};

  // For a listener that gets few and small requests.
  static ListenerLimits Small();
  // Bytes that the listener takes at most, without the system's buffers of
  // connections that are read.
  size_t MaxMemory() const;
};

}  // namespace chestnutport::client_limits

#endif  // CLIENT_LIMITS_LISTENER_LIMITS_H_
