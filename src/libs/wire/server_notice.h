// What a server states about itself in the headers of its responses.
#ifndef WIRE_SERVER_NOTICE_H_
#define WIRE_SERVER_NOTICE_H_

#include <optional>
#include <string_view>

namespace chestnutport::wire {

struct ServerNotice {
  // Requests per second that it accepts from all nodes together, for as long as
  // its responses state it. Zero or more; nothing if there is no limit.
  std::optional<double> rate_limit;
  // The response states a rate limit that is not a number.
  bool is_rate_limit_invalid = false;
  // The server shuts down and must get no new requests.
  bool is_leaving = false;

  // Parses the values of the two headers; empty if the header is missing.
  static ServerNotice Parse(std::string_view rate_limit,
                            std::string_view leaving);
};

}  // namespace chestnutport::wire

#endif  // WIRE_SERVER_NOTICE_H_
