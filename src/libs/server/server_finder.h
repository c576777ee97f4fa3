// Finds the server beside a node that has just started, before the server next
// announces itself. Runs on the control thread.
#ifndef SERVER_SERVER_FINDER_H_
#define SERVER_SERVER_FINDER_H_

#include <functional>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "server/server_announcement.h"
#include "server/server_protocol.h"

namespace chestnutport::server {

// A server goes on while its node is replaced, and announces itself only now
// and then; until it does, the node would refuse its work. Its health path
// tells the same: who it is, how many slots it has, and whether it leaves.
class ServerFinder {
 public:
  // Where to look, and what the server is expected to be.
  struct Place {
    base::SocketAddress address;  // Port zero: there is no such place.
    std::string service;
    std::string health_path;
  };
  // Called once, with what the server would have announced.
  using Handler = std::function<void(const ServerAnnouncement&)>;

  // `loop` must outlive the finder.
  ServerFinder(net::EventLoop& loop,
               AnyServerProtocol protocol,
               Handler handler);
  ~ServerFinder();

  // Looks there, a few times, unless it looks already or has found it.
  void Look(const Place& place);
  // The server has announced itself, or the time for looking is over.
  void Stop();

 private:
  void Ask();
  void OnAnswer(const net::TransferResult& result);

  net::EventLoop& loop_;
  AnyServerProtocol protocol_;
  Handler handler_;
  net::HttpClient client_;
  Place place_;
  bool is_over_ = false;
  int asked_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_FINDER_H_
