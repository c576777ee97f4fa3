// The admission side: the only way to this node's own server. Runs on the
// gate thread.
#ifndef GATE_GATE_H_
#define GATE_GATE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_controller.h"
#include "admission/freeze_watch.h"
#include "base/result.h"
#include "control_calls/peer_keys.h"
#include "gate/gate_arrival.h"
#include "gate/gate_attempt.h"
#include "gate/gate_log.h"
#include "gate/gate_report.h"
#include "gate/keyed_requests.h"
#include "gate/settle_calls.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "quarantine/quarantine_filter.h"
#include "quarantine/server_crash.h"
#include "server/server_observer.h"
#include "server/server_protocol.h"
#include "server/server_state.h"
#include "traffic/node_identity.h"
#include "traffic/running_requests.h"
#include "traffic/traffic_recorder.h"
#include "wire/peer_request_head.h"

namespace chestnutport::gate {

class Gate {
 public:
  // What the gate tells of its server. Each is called on the gate's thread.
  struct Outputs {
    std::function<void(const GateReport&)> report;  // A few times a second.
    // The server ended with what it ran.
    std::function<void(const quarantine::ServerCrash&)> server_crash;
    // The server answered a request that is not free.
    std::function<void(base::RequestFingerprint)> suspect_answered;
  };

  // `loop` and `running` must outlive the gate.
  Gate(net::EventLoop& loop,
       traffic::NodeIdentity identity,
       control_calls::PeerKeys keys,
       server::AnyServerProtocol protocol,
       traffic::RunningRequests& running,
       Outputs outputs);
  ~Gate();

  // Binds the peer listener. Call before the loop runs.
  base::Result<base::SocketAddress> Listen(const base::SocketAddress& address);

  // Called on the gate's thread.
  void SetServer(const server::ServerState& server);
  void SetConfiguration(const declarations::Configuration& configuration) {
    recorder_.SetConfiguration(configuration);
  }
  void SetVerdicts(quarantine::SharedVerdicts verdicts);
  void SetKeyView(std::vector<keys::OwnerNode> nodes, base::Instant as_of);
  // Refuses new work; `empty` is called once nothing is in flight.
  void Drain(std::function<void()> empty);

  // For the gate's thread.
  const telemetry::TrafficMetrics& metrics() const {
    return recorder_.metrics();
  }
  size_t in_flight() const { return attempts_.size(); }

 private:
  // gate.cc: taking attempts, and answering the nodes that sent them.
  void OnRequest(net::HttpRequest request, net::Reply reply);
  bool IsAuthorized(const wire::PeerRequestHead& head,
                    const net::HttpHeaders& headers) const;
  void Receive(const wire::PeerRequestHead& head,
               net::HttpRequest request,
               net::Reply reply);
  // Admits those that waited for the server's word on its pace.
  void AdmitWaiting();
  void Admit(GateArrival arrival);
  // Whether the attempt was answered because the server is not to have it.
  bool TurnsAway(GateArrival& arrival, base::Instant now);
  // Why the request is held back, if it is so before it is queued.
  std::optional<quarantine::QuarantineRejection> Held(
      const GateArrival& arrival,
      base::Instant now) const;
  // Says whether the attempt would be let in now. Nothing is kept of it.
  void AnswerInquiry(const admission::Arrival& asked, net::Reply& reply);
  void Keep(GateArrival arrival);
  // Whether another server would do better with a request that may move.
  bool HandsBack(const wire::PeerRequestHead& head, base::Instant now) const;
  admission::AttemptState Settle(const SettleRequest& request);
  void Perform(admission::AdmissionActions actions);
  void Refuse(const base::AttemptId& id,
              base::ErrorKind error,
              base::Duration retry_after);
  void Record(const GateAttempt& attempt,
              std::optional<base::ErrorKind> error,
              base::Instant now);
  // Tells why an attempt has no answer of the server, or a late one. Adds the
  // state of the server to `decision`.
  void LogDecision(GateDecision decision) const;
  // Ends an attempt with the answer to it.
  void Answer(GateAttempt& attempt, net::HttpAnswer answer);
  void SendAnswer(net::Reply& reply, net::HttpAnswer answer);
  void AddLoad(net::HttpAnswer& answer) const;
  void Tick();
  void CheckEmpty();
  void Report(base::Instant now);

  // gate_serving.cc: what becomes of attempts at the server.
  // Hands the attempt to the server. Returns what to do next if it is not to
  // have it any more.
  admission::AdmissionActions Start(const base::AttemptId& id);
  std::optional<quarantine::QuarantineRejection> RefusalAtStart(
      const GateAttempt& attempt,
      base::Instant now);
  void Serve(GateAttempt& attempt, base::Instant now);
  // Hands the answer on as it comes, if it is large.
  bool StartRelay(const base::AttemptId& id, const net::HttpAnswer& head);
  bool RelayPart(const base::AttemptId& id, std::string_view part);
  void OnServerDone(const base::AttemptId& id, net::TransferResult result);
  // Takes note of what the end says of the server and of the request.
  void NoteEnd(const GateAttempt& attempt,
               server::RequestEnd end,
               const net::TransferResult& result,
               base::Instant now);
  // The server ended while it ran these.
  void OnServerEnded(const std::vector<admission::BrokenRequest>& broken);
  // Refuses what waits, and stops what may be stopped, of requests that were
  // put in quarantine meanwhile.
  void DropQuarantined();
  // What the sender of an attempt that is cancelled is told.
  struct CancelReason {
    base::ErrorKind unrun = base::ErrorKind::kCancelled;
    base::ErrorKind stopped = base::ErrorKind::kConnectionLost;
    base::Duration retry_after{};
  };
  admission::AttemptState CancelAttempt(const base::AttemptId& id,
                                        bool stop_running,
                                        const CancelReason& reason);
  // Whether the attempt was admitted, but waited for a connection to the
  // server: then it never runs.
  bool CancelUnsent(const base::AttemptId& id,
                    const CancelReason& reason,
                    base::Instant now);
  void OnPeerGone(const base::AttemptId& id);

  net::EventLoop& loop_;
  traffic::NodeIdentity identity_;
  control_calls::PeerKeys keys_;
  server::ServerState server_;
  admission::AdmissionController admission_;
  admission::FreezeWatch freeze_watch_;
  server::AnyServerProtocol protocol_;
  traffic::RunningRequests& running_;
  KeyedRequests keyed_requests_;
  net::HttpClient client_;
  server::ServerObserver observer_;
  std::vector<GateArrival> waiting_for_look_;
  quarantine::QuarantineFilter guard_;
  Outputs outputs_;
  base::Instant reported_at_;
  SettleCalls settle_calls_;
  traffic::TrafficRecorder recorder_;
  std::unique_ptr<net::HttpServer> listener_;
  absl::flat_hash_map<base::AttemptId, std::unique_ptr<GateAttempt>> attempts_;
  std::function<void()> on_empty_;
  bool empty_told_ = false;  // That the draining server has no work left.
  net::EventLoop::TimerId ticker_ = 0;
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_H_
