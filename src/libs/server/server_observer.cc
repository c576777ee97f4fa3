#include "server/server_observer.h"

#include <utility>

#include "telemetry/log.h"

namespace chestnutport::server {
namespace {

constexpr int kServerError = 500;
// Minimum time between two probes that check for a crash. A server that
// interrupts every request is probed at most four times a second.
constexpr std::chrono::milliseconds kDoubtProbeInterval(250);

}  // namespace

ServerObserver::ServerObserver(net::EventLoop& loop,
                               AnyServerProtocol protocol,
                               Outputs outputs)
    : protocol_(std::move(protocol)),
      outputs_(std::move(outputs)),
      prober_(
          loop,
          outputs_.probe_sent,
          [this](const http_client::TransferResult& result,
                 const ProbeStart& probe) { OnProbeResult(result, probe); }) {}

void ServerObserver::SetServer(const ServerState& server, bool has_started) {
  instance_ = server.instance;
  life_ = server.life;
  prober_.SetServer(server);
  if (!has_started)
    return;
  crash_detector_.OnServerRestarted(base::Clock::now());
  performance_.Reset();
  is_replaced_ = false;
}

void ServerObserver::Tick(base::Instant now) {
  prober_.Tick(now);
  ProbeIfInDoubt(now);
}

void ServerObserver::ProbeIfInDoubt(base::Instant now) {
  const bool is_due =
      crash_detector_.IsCrashSuspected() && now >= next_doubt_probe_at_;
  if (is_due && prober_.ProbeNow(now))
    next_doubt_probe_at_ = now + kDoubtProbeInterval;
}

void ServerObserver::OnRequestResult(const RequestResult& request,
                                     const net::HttpAnswer& answer,
                                     base::Instant now) {
  const bool is_complete = request.end == http_client::TransferEnd::kComplete;
  if (is_complete && request.verdict == ServerVerdict::kOtherInstance) {
    telemetry::LogEvent(telemetry::Event::kServerReplaced,
                        {{"expected", instance_},
                         {"meant_for", request.instance},
                         {"found", protocol_.instance(answer.headers)}});
  }
  if (request.end == http_client::TransferEnd::kLost) {
    crash_detector_.OnInterrupted(
        {.fingerprint = request.fingerprint,
         .is_suspect = request.is_suspect,
         .life = request.life,
         .instance = request.instance,
         .is_over_cold_rate = request.is_over_cold_rate,
         .started_at = request.started_at,
         .interrupted_at = now});
  }
  // A result that arrives after a new incarnation has announced itself must not
  // count for that one: the new server would stay idle because of a connection
  // that its predecessor refused.
  if (request.life == life_)
    OnCurrentRequestResult(request, answer, now);
  ProbeIfInDoubt(now);
}

void ServerObserver::OnCurrentRequestResult(const RequestResult& request,
                                            const net::HttpAnswer& answer,
                                            base::Instant now) {
  const bool is_complete = request.end == http_client::TransferEnd::kComplete;
  if (is_complete) {
    prober_.OnAnswer(now);
    UpdateFromHeaders(answer.headers, now);
  }
  if (request.is_refused)
    crash_detector_.OnConnectionRefused(now);
  if (is_complete && request.verdict == ServerVerdict::kOtherInstance) {
    is_replaced_ = true;
    return;
  }
  if (is_complete)
    crash_detector_.OnAnswer(request.started_at);
  const bool is_answered =
      is_complete && request.verdict == ServerVerdict::kAnswered;
  // The failure was caused by another service and would occur on any server of
  // this service.
  if (is_answered && request.has_failed_call)
    return;
  performance_.OnResult(is_answered && answer.status < kServerError, now);
}

void ServerObserver::OnProbeResult(const http_client::TransferResult& result,
                                   const ProbeStart& probe) {
  if (probe.life == life_)
    OnCurrentProbeResult(result, probe.started_at, base::Clock::now());
  outputs_.probe_ended();
}

void ServerObserver::OnCurrentProbeResult(
    const http_client::TransferResult& result,
    base::Instant started_at,
    base::Instant now) {
  const std::string found = protocol_.instance(result.answer.headers);
  const bool is_own = found.empty() || instance_.empty() || found == instance_;
  if (result.end == http_client::TransferEnd::kComplete && is_own)
    crash_detector_.OnAnswer(started_at);
  if (result.is_refused)
    crash_detector_.OnConnectionRefused(now);
  if (result.end == http_client::TransferEnd::kComplete) {
    UpdateFromHeaders(result.answer.headers, now);
    const auto& headers = result.answer.headers;
    if (is_own && protocol_.reports_cold_state && !protocol_.cold_for(headers))
      outputs_.warm_reported();
    if (is_own)
      outputs_.health_checked(headers, started_at);
  } else if (result.end == http_client::TransferEnd::kTimedOut) {
    performance_.OnProbeTimeout(now);
  } else {
    performance_.OnResult(false, now);
  }
}

void ServerObserver::UpdateFromHeaders(const net::HttpHeaders& headers,
                                       base::Instant now) {
  if (const auto load = protocol_.load(headers))
    performance_.OnSlowness(load->slowness, now);
  if (const auto remaining = protocol_.cold_for(headers))
    outputs_.cold_reported(*remaining);
}

}  // namespace chestnutport::server
