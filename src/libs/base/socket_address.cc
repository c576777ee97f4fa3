#include "base/socket_address.h"

#include <arpa/inet.h>

#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace chestnutport::base {

std::optional<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  uint32_t port = 0;
  if (!ParseNumber(text.substr(colon + 1), &port) || port > UINT16_MAX)
    return std::nullopt;
  in_addr address;
  const std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address) != 1)
    return std::nullopt;
  return SocketAddress{ntohl(address.s_addr), static_cast<uint16_t>(port)};
}

std::string SocketAddress::ToString() const {
  in_addr address;
  address.s_addr = htonl(ip);
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return absl::StrCat(text, ":", port);
}

}  // namespace chestnutport::base
