// One node of the fleet and the server beside it, as other nodes know them.
#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/node_id.h"
#include "base/socket_address.h"

namespace chestnutport::membership {

enum class MemberState {
  kAlive,
  kSuspected,  // Did not answer; declared gone unless it speaks up.
  kGone,       // Declared gone; may come back with a higher incarnation.
  kLeft,       // Said itself that it leaves, or another took its address.
};

// What a server told its own node.
struct ServerAnnouncement {
  std::string service;
  int slots = 1;
  bool draining = false;
  // Requests a second that it is given while it is cold; zero: it is warm.
  double cold_rate = 0;

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
  // Counted up by the node itself with each change of what is said here.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  uint64_t revision = 0;  // Of the configuration it was last known to hold.
  // It tried to read the platform's store, and was not answered since.
  bool has_lost_store = false;
  std::optional<ServerAnnouncement> server;  // None: no server is announced.

  std::string ToJson() const;
  static std::optional<Member> FromJson(std::string_view text);

  bool operator==(const Member&) const = default;
};

}  // namespace chestnutport::membership

#endif  // MEMBERSHIP_MEMBER_H_
