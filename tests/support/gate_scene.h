// A gate between another node and a server that behaves as a test wants, all on
// one loop.
#ifndef SUPPORT_GATE_SCENE_H_
#define SUPPORT_GATE_SCENE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/attempt_id.h"
#include "gate/gate.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/server_protocol.h"
#include "traffic/running_requests.h"
#include "wire/peer_request_head.h"

namespace chestnutport::test {

class GateScene {
 public:
  explicit GateScene(const server::AnyServerProtocol& protocol);
  // Of a server that speaks the product's own protocol.
  GateScene();

  // Tells the gate of `state`.
  void Apply() { gate_.SetServer(state); }

  // Begins an attempt; the result is in `results` once it ends.
  base::AttemptId Begin(const std::string& method,
                        base::Duration remaining = std::chrono::seconds(10));
  // The same of a certain request, by the word of the other node a suspect or
  // not.
  base::AttemptId BeginGuarded(const quarantine::IncomingRequest& request);
  // The same with an idempotency key; see OwnKeys().
  base::AttemptId BeginKeyed(const quarantine::IncomingRequest& request,
                             const std::string& key);
  // Makes the gate's node the owner of all keys.
  void OwnKeys();
  void SetVerdicts(const quarantine::Verdicts& verdicts) {
    gate_.SetVerdicts(std::make_shared<const quarantine::Verdicts>(verdicts));
  }
  // The server ends; nobody listens at its address any more.
  void EndServer() { server_.reset(); }
  // Whether the gate would let a request in.
  net::TransferResult Inquire(const quarantine::IncomingRequest& request = {});
  // Waits for the end of an attempt.
  net::TransferResult Run(const std::string& method);
  // The state of the attempt, as the gate says.
  std::string Settle(const base::AttemptId& attempt,
                     bool cancel,
                     bool stop_running = true);
  // The other node goes away.
  void Leave(size_t transfer) { peer_.Cancel(transfers.at(transfer)); }

  // Runs until `holds`, for ten seconds at most.
  bool Until(const std::function<bool()>& holds);

  net::HttpAnswer answer;                 // Of the server.
  std::function<void()> serving = [] {};  // Called while a request is served.
  bool silent = false;                    // The server answers nothing.
  bool inquiry_may_move = true;
  server::ServerState state;
  gate::GateReport report;
  std::vector<quarantine::ServerCrash> crashes;
  std::vector<base::RequestFingerprint> answered_suspects;
  std::vector<net::HttpRequest> served;
  std::vector<net::Reply> held;
  int gone = 0;  // Requests whose connection the gate closed.
  std::map<uint64_t, net::TransferResult> results;
  std::vector<net::HttpClient::TransferId> transfers;

 private:
  void OnServed(net::HttpRequest request, net::Reply reply);
  base::AttemptId Send(const wire::PeerRequestHead& head,
                       const std::string& method,
                       net::HttpHeaders headers = {});

  net::EventLoop loop_;

 public:
  traffic::RunningRequests running;

 private:
  gate::Gate gate_;
  net::HttpClient peer_;
  std::unique_ptr<net::HttpServer> server_;
  base::SocketAddress address_;
  uint64_t last_ = 0;
};

// What a gate said of an attempt.
std::string Outcome(const net::TransferResult& result);
std::string Error(const net::TransferResult& result);

}  // namespace chestnutport::test

#endif  // SUPPORT_GATE_SCENE_H_
