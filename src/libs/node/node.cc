#include "node/node.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/text.h"
#include "gate/gate.h"
#include "ingress/ingress.h"
#include "ingress/tenant_readings.h"
#include "net/event_loop.h"
#include "node/control_plane.h"
#include "node/settings_watcher.h"
#include "operators/metrics_collector.h"
#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

using telemetry::Event;
using telemetry::LogEvent;

// Part of the stop grace that is reserved for the shutdown itself: joining the
// threads and writing the log. At most 1/kStopMarginDivisor of the grace.
constexpr std::chrono::milliseconds kStopMargin(700);
constexpr int kStopMarginDivisor = 5;
// The leave notice, during which the other nodes are informed that this node
// stops, takes at most 1/kNoticeDivisor of the remaining grace.
constexpr int kNoticeDivisor = 2;
// The local server is announced as draining this long before traffic ends, or
// for half of the leave notice if that is shorter. Gossip takes less time than
// this. The server keeps serving other nodes until then: otherwise a third of a
// small fleet would be idle during a rolling restart.
constexpr std::chrono::seconds kServerNotice(1);
constexpr int kServerNoticeDivisor = 2;
constexpr int kTrafficThreads = 2;

base::Random SeededRandom() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return base::Random(seed);
}

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

membership::Member MakeSelf(const settings::NodeSettings& settings,
                            base::NodeId id) {
  membership::Member self;
  self.id = id;
  self.name = settings.name;
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  return self;
}

traffic::NodeIdentity ToIdentity(const membership::Member& self) {
  return {self.id, self.name, self.data_centre, self.region};
}

telemetry::Reading InFlight(const char* role, size_t count) {
  return {telemetry::Metric::kInFlight, role, static_cast<double>(count)};
}

void AppendListenerReadings(const char* role,
                            const net::HttpServer& listener,
                            std::vector<telemetry::Reading>& readings) {
  using telemetry::Metric;
  const auto append = [&](Metric metric, auto value) {
    readings.push_back({metric, role, static_cast<double>(value)});
  };
  append(Metric::kBodyBytes, listener.body_bytes());
  append(Metric::kBodyLimit, listener.body_limit());
  append(Metric::kBodiesRefused, listener.refused_bodies());
  for (const client_limits::ClientLimit limit : client_limits::kClientLimits) {
    readings.push_back(
        {Metric::kClientsRefused,
         absl::StrCat(role, "-", base::AbslView(ToString(limit))),
         static_cast<double>(listener.refused_clients(limit))});
  }
}

telemetry::Reading LoopDelay(const char* role, net::EventLoop& loop) {
  const std::chrono::duration<double> delay = loop.TakeLongestDelay();
  return {telemetry::Metric::kLoopDelay, role, delay.count()};
}

}  // namespace

struct Node::Threads {
  Threads(const settings::NodeSettings& settings, const Adapters& adapters)
      : random(SeededRandom()),
        self(MakeSelf(settings, base::NodeId::Draw(random))),
        keys{settings.peer_key, settings.previous_peer_key},
        gate(gate_loop,
             ToIdentity(self),
             keys,
             adapters.servers,
             running,
             {[this](const gate::GateReport& report) {
                control_loop.Post(
                    [this, report] { control.OnGateReport(report); });
              },
              [this](const quarantine::ServerCrash& crash) {
                control_loop.Post(
                    [this, crash] { control.OnServerCrash(crash); });
              },
              [this](base::RequestFingerprint fingerprint) {
                control_loop.Post([this, fingerprint] {
                  control.OnSuspectAnswered(fingerprint);
                });
              }}),
        ingress(ingress_loop,
                ToIdentity(self),
                keys,
                adapters.callers,
                running,
                SeededRandom()),
        metrics(control_loop, MetricsSources()),
        control(
            control_loop,
            settings,
            self,
            keys,
            metrics,
            adapters,
            {[this](ingress::TrafficSnapshot snapshot) {
               PublishConfigurationToGate(snapshot.configuration);
               ingress_loop.Post(
                   [this, snapshot = std::move(snapshot)]() mutable {
                     ingress.SetSnapshot(std::move(snapshot));
                   });
             },
             [this](const ingress::KeyPolicy& policy) {
               ingress_loop.Post(
                   [this, policy] { ingress.SetKeyPolicy(policy); });
             },
             [this](const server::ServerState& server) {
               gate_loop.Post([this, server] { gate.SetServer(server); });
             },
             [this](const quarantine::SharedVerdicts& verdicts) {
               gate_loop.Post([this, verdicts] { gate.SetVerdicts(verdicts); });
               ingress_loop.Post(
                   [this, verdicts] { ingress.SetVerdicts(verdicts); });
             },
             [this](std::vector<keys::OwnerNode> nodes, base::Instant as_of) {
               gate_loop.Post([this, nodes = std::move(nodes), as_of] {
                 gate.SetKeyView(nodes, as_of);
               });
             },
             [this](uint64_t epoch) {
               ingress_loop.Post(
                   [this, epoch] { ingress.tenants().SetAllocator(epoch); });
             },
             [this](const limits::LimitAnswer& answer) {
               ingress_loop.Post(
                   [this, answer] { ingress.tenants().OnAnswer(answer); });
             },
             [this](auto handler) {
               ingress_loop.Post([this, handler = std::move(handler)] {
                 control_loop.Post([handler, views = ingress.tenants().View()] {
                   handler(views);
                 });
               });
             }},
            SeededRandom()) {
    // No request with a key is accepted before the first proof.
    if (settings.revocation_time > base::Duration::zero())
      ingress.SetKeyPolicy({.current_until = base::BootInstant()});
    ingress.tenants().OnAsk([this](std::vector<limits::LimitRequest> requests) {
      control_loop.Post([this, requests = std::move(requests)] {
        control.AskForTokens(requests);
      });
    });
  }

  std::vector<operators::MetricsCollector::Source> MetricsSources() {
    return {{ingress_loop, [this] { return &ingress.metrics(); },
             [this] { return InFlight("ingress", ingress.in_flight()); },
             [this] {
               auto readings =
                   ingress::TenantReadings(ingress.tenants().View());
               readings.push_back(LoopDelay("ingress", ingress_loop));
               AppendListenerReadings("ingress", ingress.listener(), readings);
               return readings;
             }},
            {gate_loop, [this] { return &gate.metrics(); },
             [this] { return InFlight("gate", gate.in_flight()); },
             [this] {
               std::vector readings{LoopDelay("gate", gate_loop)};
               AppendListenerReadings("gate", gate.listener(), readings);
               return readings;
             }}};
  }

  // The gate needs only the configuration of a snapshot, and only if its
  // revision has changed.
  void PublishConfigurationToGate(
      const declarations::SharedConfiguration& configuration) {
    if (std::exchange(gate_revision, configuration->revision) ==
        configuration->revision) {
      return;
    }
    gate_loop.Post(
        [this, configuration] { gate.SetConfiguration(*configuration); });
  }

  base::Random random;
  membership::Member self;
  control_calls::PeerKeys keys;
  net::EventLoop control_loop;
  net::EventLoop gate_loop;
  net::EventLoop ingress_loop;
  traffic::RunningRequests running;
  gate::Gate gate;
  ingress::Ingress ingress;
  operators::MetricsCollector metrics;
  uint64_t gate_revision = 0;
  ControlPlane control;
  std::unique_ptr<SettingsWatcher> settings_watcher;
  int signal_fd = -1;
  bool stopping = false;
  int drained_threads = 0;  // Traffic threads with nothing in flight.
};

Node::Node(const settings::NodeSettings& settings,
           const Adapters& adapters,
           const std::string& settings_path)
    : settings_(settings),
      threads_(std::make_unique<Threads>(settings_, adapters)) {
  // Blocked before the node starts, so that a signal that arrives during
  // startup stays pending and is handled by Run().
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  threads_->settings_watcher = std::make_unique<SettingsWatcher>(
      threads_->control_loop, settings_path,
      [this](const settings::NodeSettings& changed) {
        OnSettingsChanged(changed);
      });
}

Node::~Node() {
  if (threads_->signal_fd >= 0)
    close(threads_->signal_fd);
}

base::Result<bool> Node::Start() {
  auto peer = threads_->gate.Listen(settings_.peer_listen);
  if (!peer)
    return peer.error();
  auto caller = threads_->ingress.Listen(
      settings_.caller_listen, settings_.start_wait, settings_.memory_limit);
  if (!caller)
    return caller.error();
  auto control = threads_->control.Listen();
  if (!control)
    return control.error();
  LogEvent(Event::kListening,
           {{"id", threads_->self.id.ToString()},
            {"caller", caller.value().ToString()},
            {"peer", peer.value().ToString()},
            {"operator", threads_->control.operator_address().ToString()},
            {"server", threads_->control.server_address().ToString()},
            {"control", threads_->control.control_address().ToString()},
            {"gossip", threads_->control.gossip_address().ToString()}});
  threads_->control.Start(peer.value());
  return true;
}

void Node::Run() {
  const sigset_t signals = HandledSignals();
  threads_->signal_fd = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
  threads_->control_loop.Watch(threads_->signal_fd, EPOLLIN,
                               [this](uint32_t) { OnSignal(); });
  threads_->settings_watcher->Start();
  std::thread gate_thread([this] { threads_->gate_loop.Run(); });
  std::thread ingress_thread([this] { threads_->ingress_loop.Run(); });
  threads_->control_loop.Run();
  threads_->ingress_loop.Stop();
  threads_->gate_loop.Stop();
  ingress_thread.join();
  gate_thread.join();
  LogEvent(Event::kStopped, {});
}

void Node::OnSignal() {
  signalfd_siginfo signal;
  while (read(threads_->signal_fd, &signal, sizeof(signal)) ==
         static_cast<ssize_t>(sizeof(signal))) {
    if (signal.ssi_signo == SIGHUP)
      threads_->settings_watcher->Reload(true);
    else
      BeginStop();
  }
}

void Node::OnSettingsChanged(const settings::NodeSettings& changed) {
  settings_.stop_grace = changed.stop_grace;
  settings_.leave_notice = changed.leave_notice;
  settings_.operator_tokens = changed.operator_tokens;
  settings_.longest_store_wait = changed.longest_store_wait;
  settings_.fleet_retry_share = changed.fleet_retry_share;
  settings_.fleet_retry_burst = changed.fleet_retry_burst;
}

void Node::BeginStop() {
  if (std::exchange(threads_->stopping, true))
    return;
  LogEvent(Event::kStopping, {});
  threads_->control.BeginStop();
  // The sender of SIGTERM kills the process when the grace has expired.
  const base::Duration grace =
      settings_.stop_grace -
      std::min<base::Duration>(kStopMargin,
                               settings_.stop_grace / kStopMarginDivisor);
  const base::Duration notice =
      std::min(settings_.leave_notice, grace / kNoticeDivisor);
  const base::Duration server_notice =
      std::min<base::Duration>(kServerNotice, notice / kServerNoticeDivisor);
  threads_->control_loop.CallAfter(notice - server_notice, [this] {
    threads_->control.Drain(server::DrainSource::kStop);
  });
  threads_->control_loop.CallAfter(notice, [this] { DrainTraffic(); });
  threads_->control_loop.CallAfter(grace, [this] { FinishStop(); });
}

void Node::DrainTraffic() {
  const auto on_drained = [this] {
    threads_->control_loop.Post([this] { OnThreadDrained(); });
  };
  threads_->gate_loop.Post(
      [this, on_drained] { threads_->gate.Drain(on_drained); });
  threads_->ingress_loop.Post(
      [this, on_drained] { threads_->ingress.Drain(on_drained); });
}

void Node::OnThreadDrained() {
  if (++threads_->drained_threads == kTrafficThreads)
    FinishStop();
}

void Node::FinishStop() {
  threads_->control_loop.Stop();
}

}  // namespace chestnutport::node
