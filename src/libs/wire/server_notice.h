// What a server states about itself in the headers of its responses.
#ifndef WIRE_SERVER_NOTICE_H_
#define WIRE_SERVER_NOTICE_H_

#include <optional>
#include <string_view>

#include "net/http_message.h"

namespace chestnutport::wire {

struct ServerNotice {
  // Requests per second that it accepts from all nodes together, for as long as
  // its responses state it. Zero or more; nothing if there is no limit.
  std::optional<double> rate_limit;
  // The response states a rate limit that is not a number.
  bool is_rate_limit_invalid = false;
  // The server shuts down and must get no new requests.
  bool is_leaving = false;

  // Reads the two named headers. If a rate limit is stated several times, the
  // lowest valid one applies.
  static ServerNotice Read(const net::HttpHeaders& headers,
                           std::string_view rate_limit_name,
                           std::string_view leaving_name);
};

// Whether two rate limits differ so little that the change need not be
// announced; nothing means unlimited.
bool AreSimilarRates(std::optional<double> one, std::optional<double> other);

}  // namespace chestnutport::wire

#endif  // WIRE_SERVER_NOTICE_H_
