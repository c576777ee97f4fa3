#include "fleet/direct_datagram.h"

namespace chestnutport::fleet {

std::optional<DirectDatagram> DirectDatagram::Decode(std::string_view message) {
  if (!Matches(message) || message.size() < kHeaderSize)
    return std::nullopt;
  return DirectDatagram{static_cast<Channel>(message[1]),
                        message.substr(kHeaderSize)};
}

std::string DirectDatagram::Encode() const {
  std::string message;
  message.reserve(kHeaderSize + payload.size());
  message += kMarker;
  message += static_cast<char>(channel);
  message += payload;
  return message;
}

}  // namespace chestnutport::fleet
