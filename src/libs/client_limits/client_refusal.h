// A client's connection or request that a listener refuses by a limit.
#ifndef CLIENT_LIMITS_CLIENT_REFUSAL_H_
#define CLIENT_LIMITS_CLIENT_REFUSAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chestnutport::client_limits {

// The limit that was met.
enum class ClientLimit {
  kHead,         // Bytes of the head of one request.
  kFraming,      // Bytes of the line of a chunk, or of a trailer.
  kHeads,        // Memory for the requests of all connections.
  kInput,        // Memory for unfinished requests of all connections.
  kOutput,       // Memory for answers that are not read.
  kConnections,  // Connections, while others wait to be accepted.
};

inline constexpr std::array kClientLimits = {
    ClientLimit::kHead,  ClientLimit::kFraming, ClientLimit::kHeads,
    ClientLimit::kInput, ClientLimit::kOutput,  ClientLimit::kConnections};

// As in logs and metrics.
std::string_view ToString(ClientLimit limit);

struct ClientRefusal {
  ClientLimit limit = ClientLimit::kHead;
  uint32_t peer = 0;     // The client's IPv4 address.
  size_t bytes = 0;      // That the client holds or sent.
  size_t max_bytes = 0;  // Zero for kConnections.
};

}  // namespace chestnutport::client_limits

#endif  // CLIENT_LIMITS_CLIENT_REFUSAL_H_
