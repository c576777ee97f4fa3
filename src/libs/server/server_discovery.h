// Discovers the local server after the node has started, before the server
// sends its next announcement. Runs on the control thread.
#ifndef SERVER_SERVER_DISCOVERY_H_
#define SERVER_SERVER_DISCOVERY_H_

#include <functional>
#include <string>

#include "http_client/http_client.h"
#include "net/event_loop.h"
#include "server/server_announcement.h"
#include "server/server_protocol.h"

namespace chestnutport::server {

// A server keeps running while its node is replaced, and announces itself only
// periodically. Until the next announcement the node would reject requests for
// it. The response to a health probe supplies the instance, the number of slots
// and the remaining cold time in the meantime.
class ServerDiscovery {
 public:
  // The server to probe, from the settings and its service's declaration.
  struct ExpectedServer {
    base::SocketAddress address;  // Port zero if not configured.
    std::string service;
    std::string health_path;
  };
  // Called at most once, with an announcement built from the probe response.
  using Handler = std::function<void(const ServerAnnouncement&)>;

  // `loop` must outlive this object.
  ServerDiscovery(net::EventLoop& loop,
                  AnyServerProtocol protocol,
                  Handler handler);
  ~ServerDiscovery();

  // Probes the server until it responds or the number of probes is used up.
  // Does nothing if discovery was started before or has stopped, or if
  // `expected` lacks a port or a health path.
  void Start(const ExpectedServer& expected);
  // Ends discovery for good.
  void Stop();

 private:
  void SendProbe();
  void OnProbeResult(const http_client::TransferResult& result);

  net::EventLoop& loop_;
  AnyServerProtocol protocol_;
  Handler handler_;
  http_client::HttpClient client_;
  ExpectedServer expected_;
  bool is_stopped_ = false;
  int probes_sent_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_DISCOVERY_H_
