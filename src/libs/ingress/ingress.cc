#include "ingress/ingress.h"

#include <algorithm>
#include <utility>

#include "ingress/call_log.h"
#include "ingress/caller_request.h"
#include "ingress/request_priority.h"
#include "traffic/listener_limits.h"
#include "wire/header_names.h"

namespace chestnutport::ingress {
namespace {

// Retry budget of the node over all services, regardless of their declarations.
constexpr double kNodeRetryShare = 0.2;
constexpr double kNodeRetryBurst = 50;
// Time by which the idle time-out of connections exceeds the declared one.
constexpr std::chrono::seconds kIdleSlack(2);

CallOrigin OriginOf(const std::string& name,
                    const std::optional<traffic::RunningRequest>& parent) {
  if (parent)
    return CallOrigin::kNested;
  return traffic::RunningRequests::IsNameOfNestedCall(name)
             ? CallOrigin::kNestedByName
             : CallOrigin::kCaller;
}

base::RequestFingerprint FingerprintOf(const CallerRequest& request) {
  return base::RequestFingerprint::Of(
      {.tenant = request.tenant,
       .method = request.http.method,
       .host = net::FindHeader(request.http.headers, "Host"),
       .target = request.http.target,
       .body_hash = request.http.body.hash()});
}

client_limits::ListenerLimits ListenerLimits(
    const declarations::CallerLimits& declared,
    size_t memory_limit) {
  client_limits::ListenerLimits limits =
      traffic::CallerListenerLimits(memory_limit);
  limits.largest_headers = declared.largest_headers;
  limits.largest_body = std::min(declared.largest_body, limits.large_bodies);
  limits.to_send_request =
      std::chrono::ceil<std::chrono::seconds>(declared.to_send_request);
  // Callers may reuse a connection until the declared idle time-out, so it is
  // closed a little later.
  limits.idle =
      std::chrono::ceil<std::chrono::seconds>(declared.idle) + kIdleSlack;
  return limits;
}

net::HttpAnswer ForCaller(net::HttpAnswer answer) {
  net::RemoveHeader(answer.headers, wire::kLoadHeader);
  net::RemoveHeader(answer.headers, wire::kServerNoticeHeader);
  net::RemoveHeader(answer.headers, wire::kServerTimeHeader);
  net::RemoveHeader(answer.headers, wire::kKeyNewHeader);
  net::RemoveHeader(answer.headers, wire::kRetryInHeader);
  net::RemoveHeader(answer.headers, wire::kCallFailedHeader);
  net::RemoveHopByHop(answer.headers);
  return answer;
}

}  // namespace

Ingress::Ingress(net::EventLoop& loop,
                 traffic::NodeIdentity identity,
                 control_calls::PeerKeys keys,
                 AnyCallerProtocol protocol,
                 traffic::RunningRequests& running,
                 base::Random random)
    : loop_(loop),
      identity_(std::move(identity)),
      protocol_(std::move(protocol)),
      running_(running),
      random_(random),
      attempt_origin_(random_()),
      node_retries_(kNodeRetryShare, kNodeRetryBurst),
      sender_(loop, keys),
      control_client_(loop, std::move(keys)),
      canceller_(sender_, control_client_),
      tenants_(
          loop,
          identity_.id,
          [this](HeldRequest held) { StartCall(std::move(held)); },
          [this](HeldRequest held,
                 base::ErrorKind error,
                 base::Duration retry_after) {
            RefuseByLimit(std::move(held), error, retry_after);
          }) {}

Ingress::~Ingress() {
  for (const auto& [id, call] : calls_)
    loop_.Cancel(call->timer);
  loop_.Cancel(start_timer_);
}

bool Ingress::IsReady() const {
  return snapshot_.configuration->revision > 0 &&
         std::ranges::all_of(
             snapshot_.configuration->services, [this](const auto& service) {
               const auto found = snapshot_.servers.find(service.name);
               return found != snapshot_.servers.end() &&
                      !found->second.empty();
             });
}

base::Result<base::SocketAddress> Ingress::Listen(
    const base::SocketAddress& address,
    base::Duration start_wait,
    size_t memory_limit) {
  memory_limit_ = memory_limit;
  auto opened =
      net::HttpServer::Open(loop_, address, ListenerLimits({}, memory_limit_),
                            [this](net::HttpRequest request, net::Reply reply) {
                              OnRequest(std::move(request), std::move(reply));
                            });
  if (!opened)
    return opened.error();
  listener_ = std::move(opened).value();
  listener_->set_body_policy(MakeBodyPolicy());
  if (start_wait <= base::Duration::zero())
    return listener_->address();
  listener_->SetAccepting(IsReady());
  start_timer_ =
      loop_.CallAfter(start_wait, [this] { listener_->SetAccepting(true); });
  return listener_->address();
}

void Ingress::SetSnapshot(TrafficSnapshot snapshot) {
  // Most snapshots only have other servers.
  const bool has_new_configuration =
      snapshot.configuration != snapshot_.configuration;
  snapshot_ = std::move(snapshot);
  recorder_.SetConfiguration(*snapshot_.configuration);
  if (has_new_configuration)
    tenants_.SetLimits(snapshot_.configuration->tenants);
  const declarations::CallerLimits& limits = snapshot_.configuration->limits;
  if (listener_) {
    listener_->set_limits(ListenerLimits(limits, memory_limit_));
    if (IsReady())
      listener_->SetAccepting(true);
  }
  for (const auto& declaration : snapshot_.configuration->services) {
    ServiceTraffic& service = Traffic(declaration.name);
    service.SetDeclaration(declaration);
    if (snapshot_.retries)
      service.SetRetryLimit(*snapshot_.retries);
    service.chooser().SetServers(snapshot_.servers[declaration.name],
                                 loop_.now());
  }
}

void Ingress::Drain(std::function<void()> empty) {
  listener_->Quiesce(std::move(empty));
}

void Ingress::OnRequest(net::HttpRequest http, net::Reply reply) {
  const std::string request_id = protocol_.request_id(http);
  if (!reply.IsOpen()) {
    LogCallerGoneBeforeStart(request_id);
    return;
  }
  auto read =
      protocol_.read(*snapshot_.configuration, std::move(http), random_);
  if (!read) {
    const base::ErrorKind error = base::KindOf(read.error());
    reply.Send(Reject(request_id, error, base::AnswerTo(error).retry_after));
    return;
  }
  CallerRequest request = std::move(read).value();
  const auto parent = FindParent(request);
  if (const auto key_error = FindKeyError(request, parent)) {
    reply.Send(
        Reject(request_id, *key_error, base::AnswerTo(*key_error).retry_after));
    return;
  }
  Admit(std::move(request), parent, std::move(reply));
}

std::optional<traffic::RunningRequest> Ingress::FindParent(
    const CallerRequest& request) const {
  auto parent = running_.FindParent(request.name);
  // A server may go on with a request that its node gave up, and its calls
  // must not be answered as if they came from a caller without a key.
  if (!parent && request.key_check == KeyCheck::kMissing)
    parent = running_.FindAbandoned(request.name);
  return parent;
}

std::optional<base::ErrorKind> Ingress::FindKeyError(
    const CallerRequest& request,
    const std::optional<traffic::RunningRequest>& parent) const {
  return key_policy_.FindError(request.key_check,
                               OriginOf(request.name, parent),
                               base::BootClock::now());
}

void Ingress::Admit(CallerRequest request,
                    const std::optional<traffic::RunningRequest>& parent,
                    net::Reply reply) {
  SetPriority(*snapshot_.configuration, parent, request);
  request.fingerprint = FingerprintOf(request);
  if (RefuseQuarantined(request, reply))
    return;
  // The caller's deadline runs while its body is received.
  const base::Instant arrived_at = request.http.received_at;
  tenants_.Admit({.request = std::move(request),
                  .reply = std::move(reply),
                  .arrived_at = arrived_at,
                  .is_nested = parent.has_value()});
}

void Ingress::StartCall(HeldRequest held) {
  ServiceTraffic& service = Traffic(held.request.service);
  const base::Instant now = loop_.now();
  const calls::Call call_state(service.Policy(held.request), now,
                               held.arrived_at + held.request.remaining,
                               service.Budgets());
  auto call =
      std::make_unique<ActiveCall>(ActiveCall{.id = ++last_call_,
                                              .service = &service,
                                              .call_state = call_state,
                                              .arrived_at = held.arrived_at});
  call->is_nested = held.is_nested;
  call->has_token = held.has_token;
  call->request = std::move(held.request);
  call->reply = std::move(held.reply);
  const CallId id = call->id;
  call->reply.OnGone([this, id] {
    UpdateCall(id, [this](ActiveCall& gone) {
      LogCallerGone(gone, loop_.now());
      return gone.call_state.OnCallerDisconnected(loop_.now());
    });
  });
  const calls::NextSteps steps = call->call_state.Start(now);
  calls_.emplace(id, std::move(call));
  RunSteps(id, steps);
}

void Ingress::RunSteps(CallId id, calls::NextSteps steps) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  ActiveCall& call = *found->second;
  // `steps` grows during the iteration if a step leads to others.
  for (size_t i = 0; i < steps.size(); ++i)
    RunStep(call, calls::NextStep(steps[i]), steps);
  if (!call.call_state.IsOver()) {
    SetTimer(call);
    return;
  }
  loop_.Cancel(call.timer);
  calls_.erase(id);
}

void Ingress::RunStep(ActiveCall& call,
                      const calls::NextStep& step,
                      calls::NextSteps& steps) {
  switch (step.step) {
    case calls::Step::kSend:
      for (const auto& next : SendOrSkip(call, step.attempt))
        steps.push_back(next);
      return;
    case calls::Step::kQueryStatus:
      SendCommand(call, step.attempt, false);
      return;
    case calls::Step::kCancel:
      SendCommand(call, step.attempt, true);
      return;
    case calls::Step::kCloseConnection:
      sender_.Drop(call.attempts[step.attempt].id);
      return;
    case calls::Step::kAbandon:
      Abandon(call, step.attempt);
      return;
    case calls::Step::kRelayAnswer:
      Record(call, std::nullopt, call.attempts[step.attempt].answer);
      LogCallEnd(call,
                 {.status = call.attempts[step.attempt].answer.status,
                  .revision = snapshot_.configuration->revision},
                 loop_.now());
      sender_.Relay(call.attempts[step.attempt].id,
                    ForCaller(std::move(call.attempts[step.attempt].answer)),
                    std::move(call.reply));
      return;
    case calls::Step::kAnswerError:
      AnswerError(call, step);
      return;
  }
}

calls::NextSteps Ingress::SendOrSkip(ActiveCall& call, int attempt) {
  // The request may have been quarantined since it arrived or was last sent.
  const auto left = RemainingQuarantine(call.request);
  if (!left && SendAttempt(call, attempt))
    return {};
  call.attempts.resize(attempt + 1);
  return left ? call.call_state.OnQuarantined(attempt, *left, loop_.now())
              : call.call_state.OnNoServer(attempt, loop_.now());
}

void Ingress::SetTimer(ActiveCall& call) {
  const base::Instant next = call.call_state.next_timer();
  // A timer that fires too early costs less than resetting it for each step.
  if (call.timer != 0 && call.timer_at <= next)
    return;
  loop_.Cancel(call.timer);
  call.timer_at = next;
  call.timer = loop_.CallAt(next, [this, id = call.id] {
    UpdateCall(id, [this](ActiveCall& due) {
      due.timer = 0;
      const int attempts = due.call_state.attempts();
      auto steps = due.call_state.OnTimer(loop_.now());
      due.hedges += due.call_state.attempts() - attempts;
      return steps;
    });
  });
}

ServiceTraffic& Ingress::Traffic(const std::string& service) {
  auto& slot = services_[service];
  if (!slot)
    slot = std::make_unique<ServiceTraffic>(identity_, node_retries_);
  return *slot;
}

}  // namespace chestnutport::ingress
