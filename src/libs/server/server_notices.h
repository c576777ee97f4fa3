// Tracks the rate limit of the local server, and whether it is leaving, from
// the notices in its responses. Reads no clock.
#ifndef SERVER_SERVER_NOTICES_H_
#define SERVER_SERVER_NOTICES_H_

#include <optional>

#include "base/time.h"
#include "wire/server_notice.h"

namespace chestnutport::server {

class ServerNotices {
 public:
  // Forgets what the previous incarnation stated.
  void OnServerStarted() { *this = {}; }
  // The server has announced that it accepts requests again.
  void OnUndrained() { is_leaving_ = false; }

  // Each of the following returns whether the rate limit or is_leaving()
  // changed.
  //
  // A response to a request that was sent at `sent_at`. A response without a
  // rate limit ends the limit only if its request was sent after the limit was
  // last stated: responses may be read in another order than they were made.
  bool OnResponse(const wire::ServerNotice& notice,
                  base::Instant sent_at,
                  base::Instant now);
  // A response to a health check. It ends a limit only if health checks have
  // stated one: not all servers state it there.
  bool OnHealthCheck(const wire::ServerNotice& notice,
                     base::Instant sent_at,
                     base::Instant now);

  // A sender passes on what this incarnation stated at `stated_at`, before this
  // node started. Ignored once the incarnation has responded to a request.
  bool OnPassedOn(const wire::ServerNotice& notice, base::Instant stated_at);

  // The requests per second that the server accepts; nothing if unlimited.
  std::optional<double> rate_limit() const { return rate_limit_; }
  // Remains true without further statements.
  bool is_leaving() const { return is_leaving_; }
  // When rate_limit() was last stated.
  base::Instant limit_stated_at() const { return limit_stated_at_; }

 private:
  // Applies `notice`; `may_end_limit` if its silence about a limit counts.
  bool Update(const wire::ServerNotice& notice,
              bool may_end_limit,
              base::Instant now);

  std::optional<double> rate_limit_;
  base::Instant limit_stated_at_;
  bool has_responded_ = false;
  bool is_limit_in_health_checks_ = false;
  bool is_leaving_ = false;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_NOTICES_H_
