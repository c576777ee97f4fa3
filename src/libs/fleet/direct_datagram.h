// Envelope of the datagrams that other parts exchange on the gossip socket.
#ifndef FLEET_DIRECT_DATAGRAM_H_
#define FLEET_DIRECT_DATAGRAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutport::fleet {

// The part that a direct datagram belongs to. The values are part of the
// protocol between nodes.
enum class Channel : uint8_t {
  kFreshness = 1,
  kLimits = 2,
};

// A message that starts with kMarker, followed by one byte for the channel and
// the payload. It is signed and checked outside this type, like gossip.
struct DirectDatagram {
  // MessagePack never uses this byte, so no gossip message starts with it. A
  // node without direct datagrams counts them as malformed gossip.
  static constexpr char kMarker = '\xc1';
  static constexpr size_t kHeaderSize = 2;

  // Returns whether `message`, without its tag, is a direct datagram.
  static bool Matches(std::string_view message) {
    return !message.empty() && message.front() == kMarker;
  }
  // Returns nothing if `message` is not a direct datagram or is cut off. The
  // channel may be unknown to this node; the payload refers to `message`.
  static std::optional<DirectDatagram> Decode(std::string_view message);

  std::string Encode() const;

  Channel channel;
  std::string_view payload;
};

}  // namespace chestnutport::fleet

#endif  // FLEET_DIRECT_DATAGRAM_H_
