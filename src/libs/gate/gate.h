// The gate: admits requests to this node's own server, the only path to it.
// Runs on the gate thread.
#ifndef GATE_GATE_H_
#define GATE_GATE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/admission_controller.h"
#include "admission/pause_detector.h"
#include "base/result.h"
#include "control_calls/peer_keys.h"
#include "gate/attempt_control_calls.h"
#include "gate/body_inquiries.h"
#include "gate/gate_arrival.h"
#include "gate/gate_attempt.h"
#include "gate/gate_log.h"
#include "gate/gate_report.h"
#include "gate/keyed_requests.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "quarantine/quarantine_filter.h"
#include "quarantine/server_crash.h"
#include "server/server_notices.h"
#include "server/server_observer.h"
#include "server/server_protocol.h"
#include "server/server_state.h"
#include "traffic/listener_limits.h"
#include "traffic/node_identity.h"
#include "traffic/running_requests.h"
#include "traffic/traffic_recorder.h"
#include "wire/peer_request_head.h"

namespace chestnutport::gate {

class Gate {
 public:
  // Notifications about the server, called on the gate thread.
  struct Outputs {
    // Called several times a second.
    std::function<void(const GateReport&)> report;
    // The server crashed while it ran these requests.
    std::function<void(const quarantine::ServerCrash&)> server_crash;
    // The server answered a request that is suspected or in quarantine.
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

  // Binds the peer listener and returns its address. Call before the loop runs.
  base::Result<base::SocketAddress> Listen(const base::SocketAddress& address);

  // Call on the gate thread.
  void SetServer(const server::ServerState& server);
  void SetConfiguration(const declarations::Configuration& configuration) {
    recorder_.SetConfiguration(configuration);
    if (listener_) {
      listener_->set_limits(
          traffic::PeerListenerLimits(configuration.limits.largest_headers));
    }
  }
  void SetVerdicts(quarantine::SharedVerdicts verdicts);
  void SetKeyView(std::vector<keys::OwnerNode> nodes, base::Instant as_of);
  // Refuses new requests; `empty` is called once no request is in flight.
  void Drain(std::function<void()> empty);

  // Call on the gate thread.
  const telemetry::TrafficMetrics& metrics() const {
    return recorder_.metrics();
  }
  size_t in_flight() const { return attempts_.size(); }
  const net::HttpServer& listener() const { return *listener_; }

 private:
  // gate_admission.cc and gate.cc: checking and admitting the attempts of other
  // nodes, and answering those nodes.
  void OnRequest(net::HttpRequest request, net::Reply reply);
  bool IsAuthorized(const wire::PeerRequestHead& head,
                    const net::HttpHeaders& headers) const;
  void Receive(const wire::PeerRequestHead& head,
               net::HttpRequest request,
               net::Reply reply);
  // Admits the requests that waited for an on-demand probe.
  void AdmitDeferred();
  void Admit(GateArrival arrival);
  // Records that an attempt never runs whose sender has disconnected before it
  // was admitted.
  void DiscardAbandoned(const GateArrival& arrival, base::Instant now);
  // Answers the request with an error if this server cannot or must not run it,
  // or if another server would do better. Returns whether it did.
  bool RejectIfUnservable(GateArrival& arrival, base::Instant now);
  // Returns the refusal if the request must not be queued because of a
  // quarantine verdict.
  std::optional<quarantine::QuarantineRejection> QuarantineRefusal(
      const GateArrival& arrival,
      base::Instant now) const;
  // Answers whether the attempt would be admitted now, without recording it.
  void AnswerInquiry(const admission::Arrival& asked, GateArrival arrival);
  void AddAttempt(GateArrival arrival);
  // Returns whether another server would do better with a request that may
  // move.
  bool ShouldMoveElsewhere(const wire::PeerRequestHead& head,
                           base::Instant now) const;
  admission::AttemptState ControlAttempt(const AttemptControlRequest& request);
  void Perform(admission::AdmissionActions actions);
  void Refuse(const base::AttemptId& id,
              base::ErrorKind error,
              base::Duration retry_after);
  void Record(const GateAttempt& attempt,
              std::optional<base::ErrorKind> error,
              base::Instant now);
  // Whether an attempt that ended with `error` was refused for lack of capacity
  // while the server stated a rate limit.
  bool IsRateLimited(std::optional<base::ErrorKind> error) const;
  // Logs why the server did not answer an attempt, or answered it late. Adds
  // the state of the server to `decision`.
  void LogDecision(GateDecision decision) const;
  // Sends the answer that ends an attempt.
  void Answer(GateAttempt& attempt, net::HttpAnswer answer);
  void SendAnswer(net::Reply& reply, net::HttpAnswer answer);
  void AddLoad(net::HttpAnswer& answer) const;
  void Tick();
  void CheckEmpty();
  // The server responded to a request that was sent at `sent_at`.
  void OnServerNotice(const net::HttpHeaders& headers, base::Instant sent_at);
  // Applies what the sender of an attempt knows of the server's notices.
  void OnNoticePassedOn(const wire::PeerRequestHead& head, base::Instant now);
  // Whether the sender of an attempt has a notice of the current incarnation.
  bool IsNoticeAboutServer(const wire::PeerRequestHead& head) const;
  // Whether the sender of an attempt has passed on that the server is leaving.
  // This gate may have started since, and not know it.
  bool IsServerLeavingFor(const wire::PeerRequestHead& head) const;
  // The rate limit or the leaving state of the server changed.
  void OnNoticesChanged(base::Instant now);
  void AddServerNotice(net::HttpAnswer& answer) const;
  void Report(base::Instant now);

  // gate_serving.cc: attempts at the server.
  // Hands the attempt to the server. Returns further actions if it must not be
  // sent any more.
  admission::AdmissionActions Start(const base::AttemptId& id);
  std::optional<quarantine::QuarantineRejection> FindRefusalAtStart(
      const GateAttempt& attempt,
      base::Instant now);
  void SendToServer(GateAttempt& attempt, base::Instant now);
  // Passes on the body of an attempt as fast as the server takes it.
  void StreamBody(GateAttempt& attempt);
  bool PassOnBodyPart(const base::AttemptId& id, std::string part);
  void ContinueBody(const base::AttemptId& id);
  // Starts to stream the answer to the sender if it is large. Returns whether
  // it does.
  bool StartRelay(const base::AttemptId& id, const net::HttpAnswer& head);
  bool RelayPart(const base::AttemptId& id, std::string_view part);
  void OnServerDone(const base::AttemptId& id,
                    http_client::TransferResult result);
  // Passes the result to the server observer and to the quarantine filter.
  void RecordEnd(const GateAttempt& attempt,
                 server::RequestResult end,
                 const http_client::TransferResult& result,
                 base::Instant now);
  // The server crashed while it ran these requests.
  void OnServerCrashed(
      const std::vector<admission::InterruptedRequest>& interrupted);
  // Refuses queued requests, and stops running ones where allowed, that have
  // been put in quarantine since they arrived.
  void CancelQuarantined();
  // The errors sent for a cancelled attempt.
  struct CancelReason {
    base::ErrorKind not_run = base::ErrorKind::kCancelled;
    base::ErrorKind stopped = base::ErrorKind::kConnectionLost;
    base::Duration retry_after{};
  };
  admission::AttemptState CancelAttempt(const base::AttemptId& id,
                                        bool stop_running,
                                        const CancelReason& reason);
  // Cancels an attempt that was admitted but still waits for a connection to
  // the server, so that it never runs. Returns whether it did.
  bool CancelUnsent(const base::AttemptId& id,
                    const CancelReason& reason,
                    base::Instant now);
  void OnPeerDisconnected(const base::AttemptId& id);

  net::EventLoop& loop_;
  traffic::NodeIdentity identity_;
  control_calls::PeerKeys keys_;
  server::ServerState server_;
  admission::AdmissionController admission_;
  admission::PauseDetector pause_detector_;
  server::AnyServerProtocol protocol_;
  traffic::RunningRequests& running_;
  KeyedRequests keyed_requests_;
  http_client::HttpClient client_;
  server::ServerObserver observer_;
  server::ServerNotices notices_;
  std::optional<double> logged_rate_limit_;
  std::vector<GateArrival> waiting_for_probe_;
  BodyInquiries body_inquiries_;
  quarantine::QuarantineFilter quarantine_filter_;
  Outputs outputs_;
  base::Instant reported_at_;
  AttemptControlCalls attempt_control_calls_;
  traffic::TrafficRecorder recorder_;
  std::unique_ptr<net::HttpServer> listener_;
  absl::flat_hash_map<base::AttemptId, std::unique_ptr<GateAttempt>> attempts_;
  std::function<void()> on_empty_;
  // Whether the event was logged that the draining server has no requests left.
  bool is_empty_logged_ = false;
  net::EventLoop::TimerId ticker_ = 0;
};

}  // namespace chestnutport::gate

#endif  // GATE_GATE_H_
