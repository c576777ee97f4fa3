// A server's notice as nodes pass it on: by the gate with each answer, and back
// to the gate with each request, as a gate that has just started knows nothing.
#ifndef WIRE_PEER_SERVER_NOTICE_H_
#define WIRE_PEER_SERVER_NOTICE_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "wire/server_notice.h"

namespace chestnutport::wire {

struct PeerServerNotice {
  // The incarnation that stated it, with its start time; zero if unknown.
  std::string instance;
  std::chrono::milliseconds started_at{};
  ServerNotice notice;
  base::Duration age{};  // Time since it was last stated.

  // Whether the notice is about this incarnation. A start time that one side
  // does not know matches any.
  bool IsAbout(const std::string& other_instance,
               std::chrono::milliseconds other_started_at) const;

  // Returns an empty string if the instance has no name, or one that cannot be
  // sent: the notice could not be attributed.
  std::string ToHeader() const;
  static std::optional<PeerServerNotice> FromHeader(std::string_view text);
};

}  // namespace chestnutport::wire

#endif  // WIRE_PEER_SERVER_NOTICE_H_
