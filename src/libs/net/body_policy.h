// What a listener's owner decides about the bodies of requests.
#ifndef NET_BODY_POLICY_H_
#define NET_BODY_POLICY_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "base/error_kind.h"
#include "base/time.h"
#include "memory/memory_budget.h"
#include "net/http_message.h"

namespace chestnutport::net {

// A body up to this size is a small one: it does not wait behind large ones.
inline constexpr size_t kLargestSmallBody = 64 * 1024;

// What a listener's owner decides about a request whose body takes memory,
// before the body is read.
struct BodyAdmission {
  // Answers the request without reading its body.
  std::optional<HttpAnswer> rejection;
  // How long the request may wait for memory.
  base::Duration max_wait{};
  // Callers that hold less memory go first.
  memory::MemoryBudget::CallerId caller = 0;
};

// Why a body was not received, and the figures behind it.
struct BodyRefusal {
  base::ErrorKind error = base::ErrorKind::kOverloaded;
  size_t bytes = 0;           // That the body would take.
  size_t held = 0;            // Bytes of the bodies at hand.
  size_t limit = 0;           // For these.
  size_t waiting = 0;         // Requests that waited for memory.
  base::Duration waited{};    // By this request.
  base::Duration max_wait{};  // That it was allowed.
};

// How a listener's owner takes part in the decisions about bodies.
struct BodyPolicy {
  // Called with the head of a request with a large body, or of one that would
  // have to wait.
  std::function<BodyAdmission(const HttpRequest& head)> admit;
  // Answers a request whose body was not received.
  std::function<HttpAnswer(const HttpRequest& head, const BodyRefusal& refusal)>
      refuse;
};

}  // namespace chestnutport::net

#endif  // NET_BODY_POLICY_H_
