#include "traffic/listener_limits.h"

#include <algorithm>
#include <limits>

namespace chestnutport::traffic {
namespace {

constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = 1024 * kKilobyte;

// Of a process, beside large bodies of callers.
constexpr size_t kOtherMemory = 96 * kMegabyte;
// Of these, what it takes without listeners: members, configuration, program.
constexpr size_t kOwnMemory = 20 * kMegabyte;
// One of the largest that the platform's users allow.
constexpr size_t kMaxLargeBodies = 64 * kMegabyte;
constexpr size_t kMinLargeBodies = kMegabyte;
// For servers, operators, control calls and metrics.
constexpr size_t kSmallListeners = 4;

// A longer body is passed on as it comes and takes none of this VM's memory,
// but holds a slot of the server until all of it has come.
constexpr size_t kMaxBufferedBody = kMegabyte;
// Of the headers that other nodes add to a caller's.
constexpr size_t kAddedHeaders = 16 * kKilobyte;

}  // namespace

client_limits::ListenerLimits CallerListenerLimits(size_t memory_limit) {
  client_limits::ListenerLimits limits;
  limits.large_bodies =
      std::clamp(memory_limit - std::min(memory_limit, kOtherMemory),
                 kMinLargeBodies, kMaxLargeBodies);
  limits.small_bodies = 8 * kMegabyte;
  limits.heads = 3 * kMegabyte;
  limits.input = 4 * kMegabyte;
  limits.answers = 6 * kMegabyte;
  limits.connections = 2048;
  return limits;
}

client_limits::ListenerLimits PeerListenerLimits(size_t caller_headers) {
  client_limits::ListenerLimits limits;
  limits.largest_headers = caller_headers + kAddedHeaders;
  limits.largest_body = std::numeric_limits<size_t>::max();
  limits.stream_above = kMaxBufferedBody;
  limits.large_bodies = 6 * kMegabyte;
  limits.small_bodies = 4 * kMegabyte;
  limits.heads = 3 * kMegabyte;
  limits.input = 2 * kMegabyte;
  limits.answers = 4 * kMegabyte;
  limits.connections = 1024;
  return limits;
}

size_t MaxProcessMemory(size_t memory_limit) {
  return kOwnMemory + CallerListenerLimits(memory_limit).MaxMemory() +
         PeerListenerLimits(0).MaxMemory() +
         kSmallListeners * client_limits::ListenerLimits::Small().MaxMemory();
}

}  // namespace chestnutport::traffic
