// An IPv4 address and a port, as written in settings: "127.0.0.1:8080".
#ifndef BASE_SOCKET_ADDRESS_H_
#define BASE_SOCKET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutport::base {

struct SocketAddress {
  uint32_t ip = 0;  // Host byte order.
  uint16_t port = 0;

  // Accepts only numbers: names are not resolved anywhere in the product.
  static std::optional<SocketAddress> Parse(std::string_view text);
  std::string ToString() const;

  auto operator<=>(const SocketAddress&) const = default;  // NOLINT: as NodeId

  template <typename H>
  friend H AbslHashValue(H state, const SocketAddress& address) {
    return H::combine(std::move(state), address.ip, address.port);
  }
};

}  // namespace chestnutport::base

#endif  // BASE_SOCKET_ADDRESS_H_
