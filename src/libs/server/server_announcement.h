// The announcement by which a server registers at its local node.
#ifndef SERVER_SERVER_ANNOUNCEMENT_H_
#define SERVER_SERVER_ANNOUNCEMENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/socket_address.h"
#include "base/time.h"
#include "server/announcement_requirements.h"

namespace chestnutport::server {

struct ServerAnnouncement {
  std::string service;
  base::SocketAddress address;
  int slots = 1;            // 1 to 100,000.
  std::string health_path;  // Optional; not probed if empty.
  std::string instance;     // Optional; identifies the incarnation.
  // Wall-clock start time, in milliseconds since the epoch; zero if unknown.
  // Distinguishes incarnations that have the same instance name. The JSON name
  // is "born".
  std::chrono::milliseconds started_at{};
  bool draining = false;
  // Increases with each announcement of an incarnation; zero if the server does
  // not number its announcements.
  int64_t sequence = 0;
  // Remaining time during which requests take longer than usual; unset if the
  // server did not report it.
  std::optional<base::Duration> cold_for;

  // Returns nothing if a required field is missing or a field is invalid;
  // `fault` is then set to the name of the first such field. The instance may
  // also come from elsewhere, so that it is not required here.
  static std::optional<ServerAnnouncement> FromJson(
      std::string_view text,
      const AnnouncementRequirements& requirements,
      std::string* fault);
};

// Parses the start time in the body of a deregistration. Returns zero if the
// body is empty or has no start time, and nothing if it is invalid.
std::optional<std::chrono::milliseconds> ReadStartedAt(std::string_view text);

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_ANNOUNCEMENT_H_
