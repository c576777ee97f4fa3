#include "client_limits/listener_limits.h"

namespace chestnutport::client_limits {
namespace {

// Of a connection, beside its request.
constexpr size_t kConnectionBytes = 1536;

}  // namespace

ListenerLimits ListenerLimits::Small() {
  ListenerLimits limits;
  limits.large_bodies = limits.largest_body;
  limits.small_bodies = 256 * 1024;
  limits.heads = 256 * 1024;
  limits.input = 512 * 1024;
  limits.answers = 1536 * 1024;
  limits.connections = 256;
  return limits;
}

size_t ListenerLimits::MaxMemory() const {
  return large_bodies + small_bodies + heads + input + answers +
         connections * (kFreeRequestBytes + kConnectionBytes);
}

}  // namespace chestnutport::client_limits
