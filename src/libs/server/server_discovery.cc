#include "server/server_discovery.h"

#include <utility>

#include "server/health_check_connections.h"

namespace chestnutport::server {
namespace {

constexpr int kOk = 200;
// Time between the end of a probe and the next one: a fraction of the
// announcement interval, which is one or two seconds.
constexpr std::chrono::milliseconds kProbeInterval(100);
constexpr std::chrono::milliseconds kProbeTimeout(200);
// After this many probes the server has announced itself, or there is none.
constexpr int kMaxProbes = 20;

}  // namespace

ServerDiscovery::ServerDiscovery(net::EventLoop& loop,
                                 AnyServerProtocol protocol,
                                 Handler handler)
    : loop_(loop),
      protocol_(std::move(protocol)),
      handler_(std::move(handler)),
      client_(loop, HealthCheckConnections()) {}

ServerDiscovery::~ServerDiscovery() {
  loop_.Cancel(timer_);
}

void ServerDiscovery::Start(const ExpectedServer& expected) {
  const bool has_health_check =
      expected.address.port != 0 && !expected.health_path.empty();
  if (is_stopped_ || probes_sent_ > 0 || !has_health_check)
    return;
  expected_ = expected;
  SendProbe();
}

void ServerDiscovery::Stop() {
  is_stopped_ = true;
  loop_.Cancel(std::exchange(timer_, 0));
}

void ServerDiscovery::SendProbe() {
  timer_ = 0;
  if (is_stopped_ || ++probes_sent_ > kMaxProbes) {
    Stop();
    return;
  }
  client_.Send(
      expected_.address, {.method = "GET", .target = expected_.health_path},
      kProbeTimeout, [this](const http_client::TransferResult& result) {
        OnProbeResult(result);
      });
}

void ServerDiscovery::OnProbeResult(const http_client::TransferResult& result) {
  if (is_stopped_)
    return;
  const bool is_healthy = result.end == http_client::TransferEnd::kComplete &&
                          result.answer.status == kOk;
  const std::string instance = protocol_.instance(result.answer.headers);
  const auto load = protocol_.load(result.answer.headers);
  if (!is_healthy || instance.empty() || !load || load->slots < 1) {
    timer_ = loop_.CallAfter(kProbeInterval, [this] { SendProbe(); });
    return;
  }
  Stop();
  ServerAnnouncement found;
  found.service = expected_.service;
  found.address = expected_.address;
  found.slots = load->slots;
  found.instance = instance;
  found.draining = protocol_.notice(result.answer.headers).is_leaving;
  found.cold_for = protocol_.ColdForFromHealthCheck(result.answer.headers);
  handler_(found);
}

}  // namespace chestnutport::server
