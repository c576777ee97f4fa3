// A gate between a peer node and a fake server with scripted behaviour, all on
// one event loop.
#ifndef SUPPORT_GATE_FIXTURE_H_
#define SUPPORT_GATE_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/attempt_id.h"
#include "gate/gate.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "server/server_protocol.h"
#include "traffic/running_requests.h"
#include "wire/peer_request_head.h"

namespace chestnutport::test {

class GateFixture {
 public:
  explicit GateFixture(const server::AnyServerProtocol& protocol);
  // Uses the product's own server protocol.
  GateFixture();

  // Passes `state` to the gate.
  void Apply() { gate_.SetServer(state); }

  // Starts an attempt; its result is stored in `results` when it ends.
  base::AttemptId Begin(const std::string& method,
                        base::Duration remaining = std::chrono::seconds(10));
  // Starts an attempt with a fingerprint, marked as suspect or not by the
  // sender.
  base::AttemptId BeginGuarded(const quarantine::IncomingRequest& request);
  // Starts an attempt with an idempotency key; see AcquireKeyOwnership().
  base::AttemptId BeginKeyed(const quarantine::IncomingRequest& request,
                             const std::string& key);
  // Makes the gate's node the owner of all keys.
  void AcquireKeyOwnership();
  void SetVerdicts(const quarantine::Verdicts& verdicts) {
    gate_.SetVerdicts(std::make_shared<const quarantine::Verdicts>(verdicts));
  }
  // Ends the server; its address then refuses connections.
  void EndServer() { server_.reset(); }
  // Sends a capacity inquiry and returns its result.
  http_client::TransferResult InquireCapacity(
      const quarantine::IncomingRequest& guarded = {});
  // Sends an attempt again, with the same id, and waits for its result.
  http_client::TransferResult Repeat(const base::AttemptId& attempt);
  // Starts an attempt and waits for its result.
  http_client::TransferResult Run(const std::string& method);
  // Queries or cancels the attempt and returns its state.
  std::string ControlAttempt(const base::AttemptId& attempt,
                             bool cancel,
                             bool stop_running = true);
  const telemetry::TrafficMetrics& metrics() const { return gate_.metrics(); }
  // Closes the peer's connection.
  void DisconnectPeer(size_t transfer) { peer_.Cancel(transfers.at(transfer)); }

  // Runs the loop until `holds` returns true, for ten seconds at most.
  bool RunUntil(const std::function<bool()>& holds);

  net::HttpAnswer answer;  // The server's answer.
  // Called for each request that reaches the server.
  std::function<void()> on_request = [] {};
  bool is_silent = false;  // The server does not answer.
  bool inquiry_may_move = true;
  bool attempt_may_move = false;  // Of attempts started with Begin().
  // What the peer knows of the server; sent with each attempt.
  std::optional<wire::PeerServerNotice> passed_on;
  server::ServerState state;
  gate::GateReport report;
  std::vector<quarantine::ServerCrash> crashes;
  std::vector<base::RequestFingerprint> answered_suspects;
  std::vector<net::HttpRequest> served;
  std::vector<net::Reply> pending_replies;
  int closed_requests = 0;  // Requests whose connection the gate closed.
  std::map<uint64_t, http_client::TransferResult> results;
  std::vector<http_client::HttpClient::TransferId> transfers;

 private:
  void OnServed(net::HttpRequest request, net::Reply reply);
  base::AttemptId Send(wire::PeerRequestHead head,
                       const std::string& method,
                       net::HttpHeaders headers = {});

  net::EventLoop loop_;

 public:
  traffic::RunningRequests running;

 private:
  gate::Gate gate_;
  http_client::HttpClient peer_;
  std::unique_ptr<net::HttpServer> server_;
  base::SocketAddress address_;
  uint64_t last_ = 0;
};

// Return the outcome and error headers of a gate's answer.
std::string Outcome(const http_client::TransferResult& result);
std::string Error(const http_client::TransferResult& result);

}  // namespace chestnutport::test

#endif  // SUPPORT_GATE_FIXTURE_H_
