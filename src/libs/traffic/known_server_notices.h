// The notices of servers that this node has received with answers. It returns
// them to the gates with its requests: a gate that has just started knows
// nothing of its server, but this node remains bound by what it has passed on.
#ifndef TRAFFIC_KNOWN_SERVER_NOTICES_H_
#define TRAFFIC_KNOWN_SERVER_NOTICES_H_

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "net/http_message.h"
#include "wire/peer_server_notice.h"

namespace chestnutport::traffic {

class KnownServerNotices {
 public:
  // The gate at `peer` sent an answer with these headers to a request that was
  // sent at `sent_at`. `is_from_server` if it passes on a response of its
  // server; without a notice, that response ends one that was received before
  // `sent_at`.
  void OnAnswer(const base::SocketAddress& peer,
                const net::HttpHeaders& headers,
                bool is_from_server,
                base::Instant sent_at,
                base::Instant now);
  // Returns the notice of the server behind the gate, with its age; nothing if
  // there is none.
  std::optional<wire::PeerServerNotice> Find(const base::SocketAddress& peer,
                                             base::Instant now) const;

 private:
  struct Known {
    wire::PeerServerNotice notice;
    base::Instant stated_at;
    base::Instant received_at;
  };

  void Prune(base::Instant now);

  absl::flat_hash_map<base::SocketAddress, Known> notices_;
};

}  // namespace chestnutport::traffic

#endif  // TRAFFIC_KNOWN_SERVER_NOTICES_H_
