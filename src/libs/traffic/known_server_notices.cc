#include "traffic/known_server_notices.h"

#include <utility>

#include "wire/header_names.h"

namespace chestnutport::traffic {
namespace {

// A notice that was not confirmed for this time is dropped. The gate or the
// server has been replaced, or gets no requests from this node.
constexpr std::chrono::minutes kMaxAge(10);

}  // namespace

void KnownServerNotices::OnAnswer(const base::SocketAddress& peer,
                                  const net::HttpHeaders& headers,
                                  bool is_from_server,
                                  base::Instant sent_at,
                                  base::Instant now) {
  auto notice = wire::PeerServerNotice::FromHeader(
      net::FindHeader(headers, wire::kServerNoticeHeader));
  if (notice) {
    Prune(now);
    const base::Instant stated_at = now - notice->age;
    notices_[peer] = {*std::move(notice), stated_at, now};
    return;
  }
  const auto known = notices_.find(peer);
  if (is_from_server && known != notices_.end() &&
      sent_at > known->second.received_at) {
    notices_.erase(known);
  }
}

std::optional<wire::PeerServerNotice> KnownServerNotices::Find(
    const base::SocketAddress& peer,
    base::Instant now) const {
  const auto found = notices_.find(peer);
  if (found == notices_.end())
    return std::nullopt;
  wire::PeerServerNotice notice = found->second.notice;
  notice.age = now - found->second.stated_at;
  return notice;
}

void KnownServerNotices::Prune(base::Instant now) {
  absl::erase_if(notices_, [now](const auto& item) {
    return now - item.second.stated_at > kMaxAge;
  });
}

}  // namespace chestnutport::traffic
