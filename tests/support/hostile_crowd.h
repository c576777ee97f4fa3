// Connections of clients that send what no well-behaved client sends.
#ifndef SUPPORT_HOSTILE_CROWD_H_
#define SUPPORT_HOSTILE_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/socket_address.h"
#include "support/raw_socket.h"

namespace chestnutport::test {

// What each connection of a crowd sends.
struct HostileKind {
  std::string name;
  size_t connections = 0;
  std::string begin;
  std::string repeated;  // Sent behind `begin` as often as `bytes` allow.
  size_t bytes = 0;      // Of one connection, in all.
  std::string end;
  bool reads = false;  // Whether the responses are read.
};

class HostileCrowd {
 public:
  HostileCrowd(const base::SocketAddress& to, const HostileKind& kind);

  // Sends on all connections side by side, until each one has sent its bytes or
  // is closed, or the other end takes no more. The connections stay open until
  // the crowd is destroyed.
  void Send();

 private:
  struct Client {
    RawSocket socket;
    size_t sent = 0;
    bool is_closed = false;
  };

  bool IsOver(const Client& client) const;
  // Each returns whether bytes were moved.
  bool SendPart(Client& client);
  bool ReadPart(Client& client) const;

  // One message, from the first byte to the last.
  std::string bytes_;
  bool reads_;
  std::vector<Client> clients_;
};

}  // namespace chestnutport::test

#endif  // SUPPORT_HOSTILE_CROWD_H_
