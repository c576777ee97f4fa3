// Accepts callers' requests, chooses servers, and sends each caller a single
// final answer. Runs on the ingress thread.
#ifndef INGRESS_INGRESS_H_
#define INGRESS_INGRESS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "base/result.h"
#include "calls/next_step.h"
#include "calls/retry_budget.h"
#include "control_calls/peer_keys.h"
#include "ingress/active_call.h"
#include "ingress/attempt_canceller.h"
#include "ingress/attempt_control_client.h"
#include "ingress/attempt_sender.h"
#include "ingress/caller_protocol.h"
#include "ingress/held_request.h"
#include "ingress/key_policy.h"
#include "ingress/service_traffic.h"
#include "ingress/tenant_admission.h"
#include "ingress/traffic_snapshot.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "quarantine/quarantine_filter.h"
#include "traffic/node_identity.h"
#include "traffic/running_requests.h"
#include "traffic/traffic_recorder.h"
#include "wire/peer_request_head.h"

namespace chestnutport::ingress {

class Ingress {
 public:
  // `loop` and `running` must outlive the ingress.
  Ingress(net::EventLoop& loop,
          traffic::NodeIdentity identity,
          control_calls::PeerKeys keys,
          AnyCallerProtocol protocol,
          traffic::RunningRequests& running,
          base::Random random);
  ~Ingress();

  // Binds the callers' listener. Must be called before the loop runs.
  // Connections are accepted only once this node has a configuration and a
  // server of each service, or after `start_wait`: until then, it could only
  // refuse requests. `memory_limit`: bytes that the process may take.
  base::Result<base::SocketAddress> Listen(const base::SocketAddress& address,
                                           base::Duration start_wait,
                                           size_t memory_limit);

  // Must be called on the ingress thread.
  void SetSnapshot(TrafficSnapshot snapshot);
  void SetVerdicts(quarantine::SharedVerdicts verdicts) {
    verdicts_ = std::move(verdicts);
  }
  // Judges the keys of requests that arrive from now on by `policy`.
  void SetKeyPolicy(const KeyPolicy& policy) { key_policy_ = policy; }
  TenantAdmission& tenants() { return tenants_; }
  // Stops accepting connections, and calls `empty` once every caller has its
  // answer.
  void Drain(std::function<void()> empty);

  // Must be called on the ingress thread.
  const telemetry::TrafficMetrics& metrics() const {
    return recorder_.metrics();
  }
  size_t in_flight() const { return calls_.size() + tenants_.waiting(); }
  const net::HttpServer& listener() const { return *listener_; }

 private:
  // Whether there is a configuration and a server of each service.
  bool IsReady() const;
  void OnRequest(net::HttpRequest request, net::Reply reply);
  // ingress_bodies.cc: large bodies, and those for which there is no memory.
  net::BodyPolicy MakeBodyPolicy();
  // Judges a request by its head.
  net::BodyAdmission AdmitBody(const net::HttpRequest& head);
  net::HttpAnswer RefuseBody(const net::HttpRequest& head,
                             const net::BodyRefusal& refusal);
  // Returns the request that the local server makes `request` for, if any.
  std::optional<traffic::RunningRequest> FindParent(
      const CallerRequest& request) const;
  // Returns the error if the request's key is not accepted. `parent`: as for
  // Admit().
  std::optional<base::ErrorKind> FindKeyError(
      const CallerRequest& request,
      const std::optional<traffic::RunningRequest>& parent) const;
  // Admits a request with an accepted key. `parent`: the request that the local
  // server makes it for, if any.
  void Admit(CallerRequest request,
             const std::optional<traffic::RunningRequest>& parent,
             net::Reply reply);
  void StartCall(HeldRequest held);
  // Returns the remaining quarantine of the request, or nullopt if it may be
  // sent to a server.
  std::optional<base::Duration> RemainingQuarantine(
      const CallerRequest& request) const;
  // Answers the request with an error if it is quarantined. Returns whether it
  // was.
  bool RefuseQuarantined(const CallerRequest& request, net::Reply& reply);
  // Answers a request that was not admitted.
  void RefuseByLimit(HeldRequest held,
                     base::ErrorKind error,
                     base::Duration retry_after);
  // Answers a checked request with an error, without any attempt.
  void Refuse(const CallerRequest& request,
              net::Reply& reply,
              base::ErrorKind error,
              base::Duration retry_after);
  // Records that a request is answered with an error, without any attempt, and
  // returns the answer.
  net::HttpAnswer Reject(const std::string& request_id,
                         base::ErrorKind error,
                         base::Duration retry_after);
  // Sends the caller an error because there is no answer from a server.
  void AnswerError(ActiveCall& call, const calls::NextStep& step);
  // Records the metrics of an ended call. `answer` is the server's answer if
  // `error` is not set.
  void Record(const ActiveCall& call,
              std::optional<base::ErrorKind> error,
              const net::HttpAnswer& answer);
  // Carries out `steps` and the steps that result from them.
  void RunSteps(CallId id, calls::NextSteps steps);
  void RunStep(ActiveCall& call,
               const calls::NextStep& step,
               calls::NextSteps& steps);
  // Returns null if there is no server.
  const routing::ServerCandidate* ChooseServer(const ActiveCall& call,
                                               base::Instant now);
  // Returns the only server that may run a request with an idempotency key.
  const routing::ServerCandidate* ChooseKeyOwner(const CallerRequest& request);
  // Whether the request is suspected of crashing servers, according to the
  // verdicts or because two servers crashed during this call's attempts.
  bool IsSuspect(const ActiveCall& call) const;
  // Returns the server for a suspect request: the one that its fingerprint
  // selects among the untried servers, or the owner of its key. Returns null if
  // there is none, if an attempt is in flight, or if a server crashed during a
  // suspect attempt: a suspect request may crash at most one server per call.
  const routing::ServerCandidate* ChooseForSuspect(const ActiveCall& call);
  // Chooses a server for a request that is not suspect. Returns null if there
  // is none.
  const routing::ServerCandidate* ChooseForAttempt(ActiveCall& call,
                                                   base::Instant now);
  // Returns the head sent to the gate of the chosen server.
  wire::PeerRequestHead MakeAttemptHead(const ActiveCall& call,
                                        int attempt,
                                        base::Instant now) const;
  // Chooses a server and sends the attempt. Returns false if there is no
  // server.
  bool SendAttempt(ActiveCall& call, int attempt);
  // Sends the attempt unless the request is quarantined. Returns the next steps
  // if it was not sent.
  calls::NextSteps SendOrSkip(ActiveCall& call, int attempt);
  void SendCommand(const ActiveCall& call, int attempt, bool cancel);
  void Abandon(const ActiveCall& call, int attempt);
  void SetTimer(ActiveCall& call);
  // Passes an event to the call, if it still exists, and runs the resulting
  // steps.
  template <typename Event>
  void UpdateCall(CallId id, Event event) {
    const auto found = calls_.find(id);
    if (found != calls_.end())
      RunSteps(id, event(*found->second));
  }
  ServiceTraffic& Traffic(const std::string& service);

  net::EventLoop& loop_;
  traffic::NodeIdentity identity_;
  AnyCallerProtocol protocol_;
  traffic::RunningRequests& running_;
  base::Random random_;
  uint64_t attempt_origin_;
  uint64_t last_attempt_ = 0;
  CallId last_call_ = 0;
  TrafficSnapshot snapshot_;
  KeyPolicy key_policy_;
  quarantine::SharedVerdicts verdicts_ =
      std::make_shared<const quarantine::Verdicts>();
  calls::RetryBudget node_retries_;
  std::map<std::string, std::unique_ptr<ServiceTraffic>, std::less<>> services_;
  AttemptSender sender_;
  AttemptControlClient control_client_;
  AttemptCanceller canceller_;
  traffic::TrafficRecorder recorder_;
  std::unique_ptr<net::HttpServer> listener_;
  size_t memory_limit_ = 0;  // Bytes that the process may take.
  net::EventLoop::TimerId start_timer_ = 0;
  // Declared after the listener, so that replies are destroyed before it.
  absl::flat_hash_map<CallId, std::unique_ptr<ActiveCall>> calls_;
  TenantAdmission tenants_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_INGRESS_H_
