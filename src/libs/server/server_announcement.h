// What a server tells its own node when it announces itself.
#ifndef SERVER_SERVER_ANNOUNCEMENT_H_
#define SERVER_SERVER_ANNOUNCEMENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/socket_address.h"
#include "base/time.h"

namespace chestnutport::server {

struct ServerAnnouncement {
  std::string service;
  base::SocketAddress address;
  int slots = 1;            // 1 to 100,000.
  std::string health_path;  // Optional; empty: it is not probed.
  std::string instance;     // Optional; names the server's start.
  // When the server started, by the time of day; zero: not told. Tells starts
  // of one instance apart.
  std::chrono::milliseconds started_at{};
  bool draining = false;
  // Counts up with each announcement of a start; zero: it is not counted.
  int64_t sequence = 0;
  // For so long its work takes longer than usual; nothing: not told.
  std::optional<base::Duration> cold_for;

  // Nothing if a part is missing or of the wrong kind; `fault` says which.
  static std::optional<ServerAnnouncement> FromJson(std::string_view text,
                                                    std::string* fault);
};

// The time of start in what a server says as it leaves, which may be empty;
// zero: not told. Nothing if it cannot be read.
std::optional<std::chrono::milliseconds> ReadStartedAt(std::string_view text);

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_ANNOUNCEMENT_H_
