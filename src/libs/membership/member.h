// One node of the fleet and the server beside it, as seen by other nodes.
#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/node_id.h"
#include "base/server_departure.h"
#include "base/socket_address.h"

namespace chestnutport::membership {

enum class MemberState {
  kAlive,
  kSuspected,  // Did not ack a probe; gone unless it refutes this.
  kGone,       // Declared gone; may return with a higher incarnation.
  kLeft,       // Announced that it leaves, or another node took its address.
};

// What a server has announced to the node beside it.
struct ServerAnnouncement {
  std::string service;
  int slots = 1;
  bool draining = false;
  // Requests per second that it accepts: while it is cold, or as it states.
  // Zero if unlimited.
  double rate_limit = 0;

  bool operator==(const ServerAnnouncement&) const = default;
};

struct Member {
  base::NodeId id;
  std::string name;
  std::string data_centre;
  std::string region;
  base::SocketAddress gossip_address;
  base::SocketAddress peer_address;
  base::SocketAddress control_address;
  base::SocketAddress operator_address;
  // Incremented by the node itself with each change of this description.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  uint64_t revision = 0;  // Configuration revision that it is known to hold.
  // Whether the platform's store did not respond in time to its last read or
  // watch; false while it does not read the store.
  bool has_lost_store = false;
  std::optional<ServerAnnouncement>
      server;  // Nothing if no server is announced.
  // The server that last told this node, or an earlier run of it, that it
  // leaves. A later run of the node learns it from the members that know this
  // one.
  std::optional<base::ServerDeparture> departure;

  std::string ToJson() const;
  static std::optional<Member> FromJson(std::string_view text);

  bool operator==(const Member&) const = default;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_H_
