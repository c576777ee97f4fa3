#include "node/server_observer.h"

#include <utility>

#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

constexpr int kServerError = 500;

}  // namespace

ServerObserver::ServerObserver(net::EventLoop& loop,
                               AnyServerProtocol protocol,
                               std::function<void()> looked)
    : protocol_(std::move(protocol)),
      looked_(std::move(looked)),
      prober_(loop,
              [this](const net::TransferResult& result) { OnProbed(result); }) {
}

void ServerObserver::SetServer(const ServerState& server, bool has_started) {
  instance_ = server.instance;
  prober_.SetServer(server);
  if (!has_started)
    return;
  pace_.Reset();
  is_replaced_ = false;
}

void ServerObserver::OnRequestEnd(const RequestEnd& request,
                                  const net::HttpAnswer& answer,
                                  base::Instant now) {
  const bool is_whole = request.end == net::TransferEnd::kComplete;
  if (is_whole) {
    prober_.OnAnswer(now);
    NoteLoad(answer.headers, now);
  }
  if (is_whole && request.verdict == ServerVerdict::kOtherInstance) {
    is_replaced_ = true;
    telemetry::LogEvent(telemetry::Event::kServerReplaced,
                        {{"expected", instance_},
                         {"found", protocol_.instance(answer.headers)}});
    return;
  }
  const bool is_answered =
      is_whole && request.verdict == ServerVerdict::kAnswered;
  // Failed by another service, which any server of this one would be.
  if (is_answered && request.has_failed_call)
    return;
  pace_.OnResult(is_answered && answer.status < kServerError, now);
}

void ServerObserver::OnProbed(const net::TransferResult& result) {
  const base::Instant now = base::Clock::now();
  if (result.end == net::TransferEnd::kComplete)
    NoteLoad(result.answer.headers, now);
  else if (result.end == net::TransferEnd::kTimedOut)
    pace_.OnSilentProbe(now);
  else
    pace_.OnResult(false, now);
  looked_();
}

void ServerObserver::NoteLoad(const net::HttpHeaders& headers,
                              base::Instant now) {
  if (const auto load = protocol_.load(headers))
    pace_.OnSlowness(load->slowness, now);
}

}  // namespace chestnutport::node
