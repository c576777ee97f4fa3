// The caller's side: takes requests, chooses servers, and gives each caller
// its one final answer. Runs on the ingress thread.
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
#include "ingress/attempt_sender.h"
#include "ingress/attempt_settler.h"
#include "ingress/caller_protocol.h"
#include "ingress/service_traffic.h"
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

  // Binds the callers' listener. Call before the loop runs. Callers wait to be
  // accepted until this node holds the configuration and knows a server of each
  // service, for `start_wait` at most: meanwhile it could only refuse them.
  base::Result<base::SocketAddress> Listen(const base::SocketAddress& address,
                                           base::Duration start_wait);

  // Called on the ingress thread.
  void SetSnapshot(TrafficSnapshot snapshot);
  void SetVerdicts(quarantine::SharedVerdicts verdicts) {
    verdicts_ = std::move(verdicts);
  }
  // Takes no new connection; calls `empty` once every caller has its answer.
  void Drain(std::function<void()> empty);

  // For the ingress thread.
  const telemetry::TrafficMetrics& metrics() const {
    return recorder_.metrics();
  }
  size_t in_flight() const { return calls_.size(); }

 private:
  // Whether it holds a configuration, and knows a server of each service.
  bool IsInformed() const;
  void OnRequest(net::HttpRequest request, net::Reply reply);
  // A call that a server makes is no more urgent than the request `above` it,
  // which it is made for: the class that it is given.
  std::string ClassOfCall(const CallerRequest& call,
                          const std::string& above) const;
  // For how long the request may be handed to no server; nothing: it may.
  std::optional<base::Duration> QuarantineLeft(
      const CallerRequest& request) const;
  // Answers a request that servers ended with each time. Returns whether it was
  // one.
  bool RefuseQuarantined(const CallerRequest& request, net::Reply& reply);
  // Answers a request that no attempt is made for.
  void Reject(const std::string& request_id,
              net::Reply reply,
              base::ErrorKind error);
  // Tells the caller that there is no answer of a server.
  void AnswerError(ActiveCall& call, const calls::NextStep& step);
  // Counts a call whose final answer is `answer`; no error: the server's.
  void Record(const ActiveCall& call,
              std::optional<base::ErrorKind> error,
              const net::HttpAnswer& answer);
  // Carries out `steps` and what follows from them.
  void Follow(CallId id, calls::NextSteps steps);
  void Perform(ActiveCall& call,
               const calls::NextStep& step,
               calls::NextSteps& steps);
  // Null if there is none.
  const routing::ServerCandidate* ChooseServer(const ActiveCall& call,
                                               base::Instant now);
  // The one server that may run a request with an idempotency key.
  const routing::ServerCandidate* KeyOwner(const CallerRequest& request);
  // Whether servers ended with the request twice, by what this node knows of it
  // or by the call's own attempts.
  bool IsSuspect(const ActiveCall& call) const;
  // The one server, of those that were not tried, that runs the suspect, or the
  // owner of its key; null if there is none, an attempt is under way, or a
  // server ended with one: a call takes one server of a suspect at most.
  const routing::ServerCandidate* ChooseForSuspect(const ActiveCall& call);
  // For a request that is no suspect. Null if there is none.
  const routing::ServerCandidate* ChooseForAttempt(ActiveCall& call,
                                                   base::Instant now);
  // What the gate is told of an attempt whose server is chosen.
  wire::PeerRequestHead HeadOf(const ActiveCall& call,
                               int attempt,
                               base::Instant now) const;
  // False if there was no server to send to.
  bool SendAttempt(ActiveCall& call, int attempt);
  // The same, unless the request is in quarantine; what follows if it was not
  // sent.
  calls::NextSteps SendOrSkip(ActiveCall& call, int attempt);
  void Settle(const ActiveCall& call, int attempt, bool cancel);
  void Abandon(const ActiveCall& call, int attempt);
  void SetTimer(ActiveCall& call);
  // Tells the decision of an event, if the call is still there.
  template <typename Event>
  void Tell(CallId id, Event event) {
    const auto found = calls_.find(id);
    if (found != calls_.end())
      Follow(id, event(*found->second));
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
  quarantine::SharedVerdicts verdicts_ =
      std::make_shared<const quarantine::Verdicts>();
  calls::RetryBudget node_retries_;
  std::map<std::string, std::unique_ptr<ServiceTraffic>, std::less<>> services_;
  AttemptSender sender_;
  AttemptSettler settler_;
  AttemptCanceller canceller_;
  traffic::TrafficRecorder recorder_;
  std::unique_ptr<net::HttpServer> listener_;
  net::EventLoop::TimerId start_timer_ = 0;
  // After the listener, so that replies end before it does.
  absl::flat_hash_map<CallId, std::unique_ptr<ActiveCall>> calls_;
};

}  // namespace chestnutport::ingress

#endif  // INGRESS_INGRESS_H_
