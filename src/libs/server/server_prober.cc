#include "server/server_prober.h"

#include <utility>

#include "base/encoding.h"
#include "wire/header_names.h"

namespace chestnutport::server {
namespace {

// What the end of a probe may be late by.
constexpr std::chrono::milliseconds kMargin(2);

}  // namespace

ServerProber::ServerProber(net::EventLoop& loop,
                           std::function<void()> sent,
                           Handler handler)
    : client_(loop, net::HttpClientOptions{}),
      scheduler_(admission::ProbeOptions{}, base::Clock::now()),
      sent_(std::move(sent)),
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

bool ServerProber::Look(base::Instant now) {
  if (path_.empty() || !scheduler_.IsStale(now))
    return false;
  return scheduler_.IsRunning() || Ask(now);
}

bool ServerProber::Ask(base::Instant now) {
  if (path_.empty())
    return false;
  const auto allowed = scheduler_.StartOnDemand(now);
  if (!allowed)
    return false;
  Probe(*allowed, now);
  return true;
}

void ServerProber::Tick(base::Instant now) {
  if (path_.empty())
    return;
  if (const auto allowed = scheduler_.StartIfDue(now))
    Probe(*allowed, now);
}

void ServerProber::Probe(base::Duration allowed, base::Instant now) {
  const base::Duration timeout = allowed - kMargin;
  net::HttpRequest request{.method = "GET", .target = path_};
  request.headers.push_back(
      {wire::kDeadlineHeader, base::FormatDuration(timeout)});
  sent_();
  client_.Send(address_, std::move(request), timeout,
               [this, probe = ProbeStart{now, life_}](
                   const net::TransferResult& result) {
                 const base::Instant end = base::Clock::now();
                 const bool answered =
                     result.end == net::TransferEnd::kComplete;
                 scheduler_.End(end - probe.begun, answered, end);
                 if (answered)
                   last_answer_ = end;
                 handler_(result, probe);
               });
}

}  // namespace chestnutport::server
