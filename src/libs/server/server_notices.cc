#include "server/server_notices.h"

#include <utility>

namespace chestnutport::server {

bool ServerNotices::OnResponse(const wire::ServerNotice& notice,
                               base::Instant sent_at,
                               base::Instant now) {
  has_responded_ = true;
  return Update(notice, sent_at > limit_stated_at_, now);
}

bool ServerNotices::OnHealthCheck(const wire::ServerNotice& notice,
                                  base::Instant sent_at,
                                  base::Instant now) {
  if (notice.rate_limit)
    is_limit_in_health_checks_ = true;
  return Update(notice,
                is_limit_in_health_checks_ && sent_at > limit_stated_at_, now);
}

bool ServerNotices::OnPassedOn(const wire::ServerNotice& notice,
                               base::Instant stated_at) {
  const bool is_newer = !rate_limit_ || stated_at > limit_stated_at_;
  if (has_responded_ || !notice.rate_limit || !is_newer)
    return false;
  limit_stated_at_ = stated_at;
  return std::exchange(rate_limit_, notice.rate_limit) != notice.rate_limit;
}

bool ServerNotices::Update(const wire::ServerNotice& notice,
                           bool may_end_limit,
                           base::Instant now) {
  const std::optional<double> previous_limit = rate_limit_;
  const bool was_leaving = is_leaving_;
  is_leaving_ = is_leaving_ || notice.is_leaving;
  if (notice.rate_limit) {
    rate_limit_ = notice.rate_limit;
    limit_stated_at_ = now;
  } else if (may_end_limit && !notice.is_rate_limit_invalid) {
    rate_limit_.reset();
  }
  return rate_limit_ != previous_limit || is_leaving_ != was_leaving;
}

}  // namespace chestnutport::server
