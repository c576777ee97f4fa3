#include "gate/gate.h"

#include <utility>

#include "base/encoding.h"
#include "gate/gate_log.h"
#include "telemetry/log.h"
#include "traffic/answer_relay.h"
#include "traffic/listener_limits.h"
#include "wire/header_names.h"
#include "wire/peer_answer_head.h"

namespace chestnutport::gate {
namespace {

using base::AttemptId;
using base::ErrorKind;

using admission::AdmissionActions;
using admission::AttemptState;

constexpr std::chrono::milliseconds kTickInterval(10);
constexpr std::chrono::milliseconds kReportInterval(200);

// Returns the options of the connections to the own server. They need no limit:
// there is only one server, and admission bounds its concurrent requests.
http_client::HttpClientOptions ServerConnections(
    const server::AnyServerProtocol& protocol) {
  http_client::HttpClientOptions options;
  options.answer_tag = protocol.answer_tag;
  // Larger answers are streamed, unless they cannot be used.
  options.largest_answer = traffic::kMaxCollectedBytes;
  return options;
}

}  // namespace

Gate::Gate(net::EventLoop& loop,
           traffic::NodeIdentity identity,
           control_calls::PeerKeys keys,
           server::AnyServerProtocol protocol,
           traffic::RunningRequests& running,
           Outputs outputs)
    : loop_(loop),
      identity_(std::move(identity)),
      keys_(std::move(keys)),
      admission_(admission::AdmissionOptions{}),
      pause_detector_(base::Clock::now()),
      protocol_(std::move(protocol)),
      running_(running),
      keyed_requests_(identity_.id),
      client_(loop, ServerConnections(protocol_)),
      observer_(
          loop,
          protocol_,
          {.probe_ended = [this] { AdmitDeferred(); },
           .probe_sent = [this] { admission_.OnProbed(base::Clock::now()); },
           .cold_reported =
               [this](base::Duration remaining) {
                 admission_.cold_limiter().OnReported(remaining,
                                                      base::Clock::now());
               },
           .warm_reported =
               [this] {
                 admission_.cold_limiter().OnHealthyWithoutReport(
                     base::Clock::now());
               },
           .health_checked =
               [this](const net::HttpHeaders& headers, base::Instant sent_at) {
                 const base::Instant now = base::Clock::now();
                 if (notices_.OnHealthCheck(protocol_.notice(headers), sent_at,
                                            now))
                   OnNoticesChanged(now);
               }}),
      body_inquiries_(loop,
                      [this](net::Reply& reply, net::HttpAnswer answer) {
                        SendAnswer(reply, std::move(answer));
                      }),
      outputs_(std::move(outputs)),
      attempt_control_calls_([this](const AttemptControlRequest& request) {
        return ControlAttempt(request);
      }) {}

Gate::~Gate() {
  loop_.Cancel(ticker_);
  loop_.CancelDeferred(this);
}

base::Result<base::SocketAddress> Gate::Listen(
    const base::SocketAddress& address) {
  auto opened = net::HttpServer::Open(
      loop_, address,
      traffic::PeerListenerLimits(declarations::CallerLimits().largest_headers),
      [this](net::HttpRequest request, net::Reply reply) {
        OnRequest(std::move(request), std::move(reply));
      });
  if (!opened)
    return opened.error();
  listener_ = std::move(opened).value();
  Tick();
  return listener_->address();
}

void Gate::SetServer(const server::ServerState& server) {
  const bool has_started = server.life != server_.life;
  const bool was_evacuated = server.evacuations != server_.evacuations;
  const bool was_undrained = server_.draining && !server.draining;
  server_ = server;
  const base::Instant now = base::Clock::now();
  admission_.set_options(server.admission);
  body_inquiries_.SetLinkRate(server.link_rate);
  observer_.SetServer(server, has_started);
  if (has_started) {
    admission_.OnServerStarted(now);
    notices_.OnServerStarted();
    logged_rate_limit_.reset();
  } else if (was_undrained) {
    notices_.OnUndrained();
  }
  if (server.cold_reported_at != base::Instant()) {
    admission_.cold_limiter().OnReported(
        server.cold_until - server.cold_reported_at, server.cold_reported_at);
  }
  if (was_evacuated)
    admission_.cold_limiter().AssumeCold(now);
  if (server.AcceptsRequests() && !notices_.is_leaving()) {
    is_empty_logged_ = false;
    if (!on_empty_)
      admission_.StopDrain();
  } else if (!admission_.IsDraining()) {
    Perform(admission_.StartDrain(now));
  }
  CheckEmpty();
}

void Gate::SetVerdicts(quarantine::SharedVerdicts verdicts) {
  const auto answered = quarantine_filter_.SetVerdicts(
      std::move(verdicts), server_.life, base::Clock::now());
  for (const base::RequestFingerprint& fingerprint : answered)
    outputs_.suspect_answered(fingerprint);
  CancelQuarantined();
}

void Gate::SetKeyView(std::vector<keys::OwnerNode> nodes, base::Instant as_of) {
  keyed_requests_.SetView(std::move(nodes), as_of);
}

void Gate::Drain(std::function<void()> empty) {
  on_empty_ = std::move(empty);
  Perform(admission_.StartDrain(base::Clock::now()));
  CheckEmpty();
}

AttemptState Gate::ControlAttempt(const AttemptControlRequest& request) {
  return request.cancel
             ? CancelAttempt(request.attempt, request.stop_running, {})
             : admission_.State(request.attempt);
}

void Gate::Perform(AdmissionActions actions) {
  for (size_t i = 0; i < actions.size(); ++i) {
    const admission::AdmissionAction action = actions[i];
    if (action.kind == admission::ActionKind::kRefuse) {
      Refuse(action.attempt, action.error, action.retry_after);
      continue;
    }
    const AdmissionActions more = Start(action.attempt);
    actions.insert(actions.end(), more.begin(), more.end());
  }
}

void Gate::Refuse(const AttemptId& id,
                  ErrorKind error,
                  base::Duration retry_after) {
  auto node = attempts_.extract(id);
  if (node.empty())
    return;
  Record(*node.mapped(), error, base::Clock::now());
  Answer(*node.mapped(), wire::MakePeerErrorAnswer(error, retry_after));
}

void Gate::Answer(GateAttempt& attempt, net::HttpAnswer answer) {
  keyed_requests_.OnEnd(attempt.id, answer, base::Clock::now());
  SendAnswer(attempt.reply, std::move(answer));
}

void Gate::Record(const GateAttempt& attempt,
                  std::optional<ErrorKind> error,
                  base::Instant now) {
  telemetry::AttemptRecord record{.service = attempt.service,
                                  .tenant = attempt.tenant,
                                  .traffic_class = attempt.traffic_class,
                                  .error = error,
                                  .is_rate_limited = IsRateLimited(error)};
  record.queued = attempt.started_at.value_or(now) - attempt.arrived_at;
  if (attempt.started_at)
    record.serving = now - *attempt.started_at;
  recorder_.Record(record);
  const bool is_late = attempt.target && now > *attempt.target;
  if (error || is_late)
    LogDecision({.request = attempt.name,
                 .fingerprint = attempt.guarded.fingerprint,
                 .error = error,
                 .queued = record.queued,
                 .serving = record.serving,
                 .on_kept_connection = attempt.on_kept_connection,
                 .admitted_slowness = attempt.slowness,
                 .slowness_age = attempt.slowness_age});
}

bool Gate::IsRateLimited(std::optional<ErrorKind> error) const {
  return notices_.rate_limit() && (error == ErrorKind::kOverloaded ||
                                   error == ErrorKind::kDeadlineTooClose);
}

void Gate::LogDecision(GateDecision decision) const {
  const base::Instant now = loop_.now();
  decision.instance = server_.instance;
  decision.load = admission_.Load(now);
  decision.slowness = observer_.performance().Slowness(now);
  decision.failure_share = observer_.performance().FailureShare(now);
  decision.rate_limit = notices_.rate_limit();
  LogGateDecision(decision);
}

void Gate::SendAnswer(net::Reply& reply, net::HttpAnswer answer) {
  AddLoad(answer);
  reply.Send(std::move(answer));
}

void Gate::AddLoad(net::HttpAnswer& answer) const {
  wire::LoadReport load = admission_.Load(loop_.now());
  load.strain = observer_.performance().KnownStrain(loop_.now());
  answer.headers.push_back({wire::kLoadHeader, load.ToHeader()});
  AddServerNotice(answer);
}

void Gate::Tick() {
  const base::Instant now = base::Clock::now();
  pause_detector_.Update(now);
  Perform(admission_.Tick(now));
  body_inquiries_.Tick(now);
  observer_.Tick(now);
  if (const auto interrupted = observer_.TakeCrash(now))
    OnServerCrashed(*interrupted);
  if (now >= reported_at_ + kReportInterval)
    Report(now);
  ticker_ = loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

void Gate::CheckEmpty() {
  if (!admission_.IsEmpty())
    return;
  if (server_.draining && !std::exchange(is_empty_logged_, true)) {
    telemetry::LogEvent(telemetry::Event::kServerEmpty,
                        {{"service", server_.service}});
  }
  if (on_empty_)
    listener_->Quiesce(std::exchange(on_empty_, nullptr));
}

void Gate::OnServerNotice(const net::HttpHeaders& headers,
                          base::Instant sent_at) {
  const base::Instant now = base::Clock::now();
  const wire::ServerNotice notice = protocol_.notice(headers);
  if (notice.is_rate_limit_invalid)
    LogInvalidRateLimit(server_.instance);
  if (notices_.OnResponse(notice, sent_at, now))
    OnNoticesChanged(now);
}

void Gate::OnNoticePassedOn(const wire::PeerRequestHead& head,
                            base::Instant now) {
  if (IsNoticeAboutServer(head) &&
      notices_.OnPassedOn(head.server_notice->notice,
                          now - head.server_notice->age)) {
    OnNoticesChanged(now);
  }
}

bool Gate::IsNoticeAboutServer(const wire::PeerRequestHead& head) const {
  return head.server_notice &&
         head.server_notice->IsAbout(server_.instance, server_.started_at);
}

bool Gate::IsServerLeavingFor(const wire::PeerRequestHead& head) const {
  return IsNoticeAboutServer(head) && head.server_notice->notice.is_leaving;
}

void Gate::OnNoticesChanged(base::Instant now) {
  const std::optional<double> rate_limit = notices_.rate_limit();
  admission_.SetStatedRate(rate_limit, now);
  const bool starts_drain = notices_.is_leaving() && !admission_.IsDraining();
  if (starts_drain)
    Perform(admission_.StartDrain(now));
  if (!starts_drain && wire::AreSimilarRates(rate_limit, logged_rate_limit_))
    return;
  logged_rate_limit_ = rate_limit;
  LogServerNotice(server_.instance, rate_limit, notices_.is_leaving());
  Report(now);
}

void Gate::AddServerNotice(net::HttpAnswer& answer) const {
  if (!notices_.rate_limit() && !notices_.is_leaving())
    return;
  const base::Instant now = base::Clock::now();
  const base::Instant stated_at =
      notices_.rate_limit() ? notices_.limit_stated_at() : now;
  const wire::PeerServerNotice notice{server_.instance,
                                      server_.started_at,
                                      {.rate_limit = notices_.rate_limit(),
                                       .is_leaving = notices_.is_leaving()},
                                      now - stated_at};
  if (std::string header = notice.ToHeader(); !header.empty())
    answer.headers.push_back({wire::kServerNoticeHeader, std::move(header)});
}

void Gate::Report(base::Instant now) {
  reported_at_ = now;
  const admission::ProbeScheduler& probes = observer_.probes();
  wire::LoadReport load = admission_.Load(now);
  load.strain = observer_.performance().KnownStrain(now);
  outputs_.report(
      {.life = server_.life,
       .cold_until = admission_.cold_limiter().cold_until(),
       .last_answer = observer_.last_answer(),
       .load = load,
       .rate_limit = notices_.rate_limit(),
       .is_leaving = notices_.is_leaving(),
       .is_replaced = observer_.is_replaced(),
       .slowness_report_age =
           observer_.performance().SlownessAge(now).value_or(base::Duration()),
       .probes = probes.probes(),
       .probe_time = probes.spent()});
}

}  // namespace chestnutport::gate
