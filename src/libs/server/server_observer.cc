#include "server/server_observer.h"

#include <utility>

#include "telemetry/log.h"

namespace chestnutport::server {
namespace {

constexpr int kServerError = 500;
// Between two probes that ask a server whether it is still there: one that
// breaks off everything it gets costs four a second.
constexpr std::chrono::milliseconds kAskInterval(250);

}  // namespace

ServerObserver::ServerObserver(net::EventLoop& loop,
                               AnyServerProtocol protocol,
                               Outputs outputs)
    : protocol_(std::move(protocol)),
      outputs_(std::move(outputs)),
      prober_(loop,
              outputs_.probed,
              [this](const net::TransferResult& result,
                     const ProbeStart& probe) { OnProbed(result, probe); }) {}

void ServerObserver::SetServer(const ServerState& server, bool has_started) {
  instance_ = server.instance;
  life_ = server.life;
  prober_.SetServer(server);
  if (!has_started)
    return;
  end_watch_.OnServerRestarted(base::Clock::now());
  pace_.Reset();
  is_replaced_ = false;
}

void ServerObserver::Tick(base::Instant now) {
  prober_.Tick(now);
  AskIfInDoubt(now);
}

void ServerObserver::AskIfInDoubt(base::Instant now) {
  const bool is_due = end_watch_.IsCrashSuspected() && now >= ask_again_at_;
  if (is_due && prober_.Ask(now))
    ask_again_at_ = now + kAskInterval;
}

void ServerObserver::OnRequestEnd(const RequestEnd& request,
                                  const net::HttpAnswer& answer,
                                  base::Instant now) {
  const bool is_whole = request.end == net::TransferEnd::kComplete;
  if (is_whole && request.verdict == ServerVerdict::kOtherInstance) {
    telemetry::LogEvent(telemetry::Event::kServerReplaced,
                        {{"expected", instance_},
                         {"meant_for", request.instance},
                         {"found", protocol_.instance(answer.headers)}});
  }
  if (request.end == net::TransferEnd::kLost) {
    end_watch_.OnInterrupted({.fingerprint = request.fingerprint,
                              .is_suspect = request.is_suspect,
                              .life = request.life,
                              .instance = request.instance,
                              .is_over_cold_rate = request.is_over_cold_rate,
                              .started_at = request.started_at,
                              .interrupted_at = now});
  }
  // An end that comes after the next life has announced itself says nothing of
  // that one, which would stand idle for a refusal that was not its own.
  if (request.life == life_)
    JudgeEnd(request, answer, now);
  AskIfInDoubt(now);
}

void ServerObserver::JudgeEnd(const RequestEnd& request,
                              const net::HttpAnswer& answer,
                              base::Instant now) {
  const bool is_whole = request.end == net::TransferEnd::kComplete;
  if (is_whole) {
    prober_.OnAnswer(now);
    NoteState(answer.headers, now);
  }
  if (request.is_refused)
    end_watch_.OnConnectionRefused(now);
  if (is_whole && request.verdict == ServerVerdict::kOtherInstance) {
    is_replaced_ = true;
    return;
  }
  if (is_whole)
    end_watch_.OnAnswer(request.started_at);
  const bool is_answered =
      is_whole && request.verdict == ServerVerdict::kAnswered;
  // Failed by another service, which any server of this one would be.
  if (is_answered && request.has_failed_call)
    return;
  pace_.OnResult(is_answered && answer.status < kServerError, now);
}

void ServerObserver::OnProbed(const net::TransferResult& result,
                              const ProbeStart& probe) {
  if (probe.life == life_)
    JudgeProbe(result, probe.begun, base::Clock::now());
  outputs_.looked();
}

void ServerObserver::JudgeProbe(const net::TransferResult& result,
                                base::Instant begun,
                                base::Instant now) {
  const std::string found = protocol_.instance(result.answer.headers);
  const bool is_own = found.empty() || instance_.empty() || found == instance_;
  if (result.end == net::TransferEnd::kComplete && is_own)
    end_watch_.OnAnswer(begun);
  if (result.is_refused)
    end_watch_.OnConnectionRefused(now);
  if (result.end == net::TransferEnd::kComplete) {
    NoteState(result.answer.headers, now);
    const auto& headers = result.answer.headers;
    if (is_own && protocol_.tells_when_cold && !protocol_.cold_for(headers))
      outputs_.found_no_cold();
  } else if (result.end == net::TransferEnd::kTimedOut) {
    pace_.OnProbeTimeout(now);
  } else {
    pace_.OnResult(false, now);
  }
}

void ServerObserver::NoteState(const net::HttpHeaders& headers,
                               base::Instant now) {
  if (const auto load = protocol_.load(headers))
    pace_.OnSlowness(load->slowness, now);
  if (const auto remaining = protocol_.cold_for(headers))
    outputs_.told_cold(*remaining);
}

}  // namespace chestnutport::server
