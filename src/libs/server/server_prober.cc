#include "server/server_prober.h"

#include <utility>

#include "base/encoding.h"
#include "server/health_check_connections.h"
#include "wire/header_names.h"

namespace chestnutport::server {
namespace {

// Subtracted from the time allowed for a probe, as timeouts may fire late.
constexpr std::chrono::milliseconds kTimeoutMargin(2);

}  // namespace

ServerProber::ServerProber(net::EventLoop& loop,
                           std::function<void()> probe_sent,
                           Handler handler)
    : client_(loop, HealthCheckConnections()),
      scheduler_(admission::ProbeOptions{}, base::Clock::now()),
      probe_sent_(std::move(probe_sent)),
      handler_(std::move(handler)) {}

void ServerProber::SetServer(const ServerState& server) {
  scheduler_.set_options(server.probes);
  address_ = server.address;
  life_ = server.life;
  path_ = server.announced ? server.health_path : "";
}

void ServerProber::OnAnswer(base::Instant now) {
  last_answer_ = now;
  scheduler_.OnAnswer(now);
}

bool ServerProber::ProbeIfStale(base::Instant now) {
  if (path_.empty() || !scheduler_.IsStale(now))
    return false;
  return scheduler_.IsRunning() || ProbeNow(now);
}

bool ServerProber::ProbeNow(base::Instant now) {
  if (path_.empty())
    return false;
  const auto max_duration = scheduler_.StartOnDemand(now);
  if (!max_duration)
    return false;
  SendProbe(*max_duration, now);
  return true;
}

void ServerProber::Tick(base::Instant now) {
  if (path_.empty())
    return;
  if (const auto max_duration = scheduler_.StartIfDue(now))
    SendProbe(*max_duration, now);
}

void ServerProber::SendProbe(base::Duration max_duration, base::Instant now) {
  const base::Duration timeout = max_duration - kTimeoutMargin;
  net::HttpRequest request{.method = "GET", .target = path_};
  request.headers.push_back(
      {wire::kDeadlineHeader, base::FormatDuration(timeout)});
  probe_sent_();
  client_.Send(
      address_, std::move(request), timeout,
      [this, probe = ProbeStart{now, life_}](
          const http_client::TransferResult& result) {
        const base::Instant ended_at = base::Clock::now();
        const bool answered = result.end == http_client::TransferEnd::kComplete;
        scheduler_.End(ended_at - probe.started_at, answered, ended_at);
        if (answered)
          last_answer_ = ended_at;
        handler_(result, probe);
      });
}

}  // namespace chestnutport::server
