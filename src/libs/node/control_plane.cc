#include "node/control_plane.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "base/text.h"
#include "client_limits/listener_limits.h"
#include "ingress/tenant_limits.h"
#include "net/error_answer.h"
#include "node/control_metrics.h"
#include "operators/allocation_report.h"
#include "operators/drain_request.h"
#include "store/store_connections.h"
#include "telemetry/log.h"

namespace chestnutport::node {
namespace {

constexpr std::chrono::milliseconds kStoreTimeout(2000);
// Maximum size in bytes of all declarations together, in one operator request.
constexpr size_t kMaxConfigurationBytes = 16 * 1024 * 1024;
// Bytes of answers to operators that wait to be written.
constexpr size_t kMaxOperatorAnswers = 2 * kMaxConfigurationBytes;
// Renewals of a short lease: at least this many in its time.
constexpr int kRenewalsPerLease = 5;

// The next run of a node is known by its address, as among the members.
std::string DeparturesKey(const std::string& fleet,
                          const base::SocketAddress& gossip_address) {
  return absl::StrCat(
      "chestnutport/", fleet, "/departures/",
      absl::StrReplaceAll(gossip_address.ToString(), {{":", "/"}}));
}

std::string AllocatorKey(const std::string& fleet) {
  return absl::StrCat("chestnutport/", fleet, "/",
                      base::AbslView(limits::kAllocatorKey));
}

limits::ElectionOptions ElectionOptionsFor(base::Duration lease) {
  limits::ElectionOptions options;
  options.lease_time = lease;
  options.renewal_interval =
      std::min(options.renewal_interval, lease / kRenewalsPerLease);
  return options;
}

bool NeedsProofs(const settings::NodeSettings& settings) {
  return settings.revocation_time > base::Duration::zero();
}

configuration::ShortWatches ShortWatchesOf(
    const settings::NodeSettings& settings) {
  return NeedsProofs(settings)
             ? configuration::ShortWatches::kOneInEachDataCentre
             : configuration::ShortWatches::kTwoInFleet;
}

server::AnnouncementRequirements RequirementsFor(
    const settings::NodeSettings& settings,
    const server::AnyServerProtocol& protocol) {
  server::AnnouncementRequirements requirements =
      protocol.announcement_requirements;
  requirements.service = settings.service;
  return requirements;
}

// Leaves most of the time for the read after a lost watch, and for the
// distribution to the other nodes. Proofs that the configuration is current
// need short watches in any case.
std::chrono::milliseconds MaxShortWatch(
    const settings::NodeSettings& settings) {
  const auto longest = NeedsProofs(settings) ? configuration::kMaxShortWatch
                                             : configuration::kMinLongWatch;
  return std::min(longest,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      settings.configuration_apply_time * 2 / 5));
}

}  // namespace

ControlPlane::ControlPlane(net::EventLoop& loop,
                           const settings::NodeSettings& settings,
                           membership::Member self,
                           const control_calls::PeerKeys& keys,
                           operators::MetricsCollector& metrics,
                           const Adapters& adapters,
                           Outputs outputs,
                           const base::Random& random)
    : loop_(loop),
      settings_(settings),
      self_(std::move(self)),
      outputs_(std::move(outputs)),
      store_http_(loop, store::StoreConnections()),
      store_(store_http_, settings.store, kStoreTimeout, adapters.store),
      control_listener_(loop, keys),
      control_caller_(loop, keys),
      quarantine_(loop,
                  [this](const quarantine::SharedVerdicts& verdicts) {
                    outputs_.publish_verdicts(verdicts);
                    evidence_store_.OnChanged();
                  }),
      membership_(loop,
                  store_,
                  control_listener_,
                  control_caller_,
                  quarantine_.ledger(),
                  settings,
                  random),
      evidence_store_(
          loop,
          store_,
          quarantine_,
          membership_.store_prefix(),
          [this] { membership_.ListStoreNow(); },
          random),
      allocator_store_(loop, store_, AllocatorKey(settings.fleet)),
      limits_(loop, ElectionOptionsFor(settings.limit_lease), LimitOutputs()),
      configuration_(
          loop,
          store_,
          control_listener_,
          control_caller_,
          adapters.configuration,
          settings,
          {.last_contact = [this] { return membership_.last_contact(); },
           .report_store_lost =
               [this](bool has_lost) { OnStoreLossChanged(has_lost); },
           .short_watches = ShortWatchesOf(settings),
           .needs_proofs = NeedsProofs(settings),
           .max_short_watch = MaxShortWatch(settings)},
          random),
      proof_exchange_(loop,
                      membership_,
                      settings.revocation_time,
                      random,
                      [this](const freshness::KeyPolicy& policy) {
                        freshness_policy_ = policy;
                        PublishKeyPolicy();
                      }),
      evacuation_reader_(loop,
                         store_,
                         adapters.evacuation,
                         settings.longest_store_wait,
                         random,
                         [this](const evacuation::Evacuations& read) {
                           membership_.AnnounceEvacuations(read);
                         }),
      evacuation_writer_(store_, adapters.evacuation),
      departure_store_(
          loop,
          store_,
          settings.longest_store_wait,
          {.read =
               [this](const auto& departures) {
                 local_server_.OnDeparturesRead(departures);
               },
           .unavailable = [this] { local_server_.OnDeparturesUnavailable(); },
           .stored = [this] { local_server_.OnDeparturesStored(); }},
          random),
      local_server_(
          loop,
          RequirementsFor(settings, adapters.servers),
          [this](const std::string& service) { return IsDeclared(service); },
          [this] { OnLocalServerChanged(); },
          [this] { return departure_store_.IsStored(); }),
      server_discovery_(loop,
                        adapters.servers,
                        [this](const server::ServerAnnouncement& found) {
                          local_server_.OnDiscovered(found);
                        }),
      metrics_(metrics,
               [this] {
                 return CollectControlMetrics(
                     {members_, configuration_, store_.calls(), gate_report_,
                      membership_.counters(), membership_.direct_counters(),
                      quarantine_, proof_exchange_.ProofAge(),
                      limits_.IsAllocator()});
               }),
      operator_api_(MakeManagedNode(), settings) {
  // Closed until the first proof, also if the policy is published for another
  // reason before.
  if (NeedsProofs(settings))
    freshness_policy_.current_until = base::BootInstant();
  AddControlCalls();
  if (!settings_.is_first_start)
    local_server_.AwaitDepartures();
  // Discovery asks the server itself.
  if (settings_.server_address.port != 0 &&
      adapters.servers.announcement_requirements.has_instance) {
    local_server_.RequireConfirmation();
  }
}

operators::ManagedNode ControlPlane::MakeManagedNode() {
  return {
      .self = self_,
      .members = members_,
      .evacuations = evacuations_,
      .configuration = configuration_,
      .caller = control_caller_,
      .quarantine = quarantine_,
      .metrics = metrics_,
      .is_ready = [this] { return IsReady(); },
      .set_draining = [this](bool draining) { SetDraining(draining); },
      .evacuate = [this](const auto& order,
                         auto handler) { Evacuate(order, std::move(handler)); },
      .read_limiter =
          [this](auto handler) { outputs_.read_limiter(std::move(handler)); },
      .read_limits = [this] { return limits_.Report(); }};
}

ControlPlane::~ControlPlane() {
  loop_.Cancel(key_view_timer_);
}

base::Result<bool> ControlPlane::Listen() {
  auto limits = client_limits::ListenerLimits::Small();
  limits.largest_body = kMaxConfigurationBytes;
  limits.large_bodies = kMaxConfigurationBytes;
  limits.answers = kMaxOperatorAnswers;
  auto operators = net::HttpServer::Open(
      loop_, settings_.operator_listen, limits,
      [this](const net::HttpRequest& request, net::Reply reply) {
        operator_api_.OnRequest(request, std::move(reply));
      });
  if (!operators)
    return operators.error();
  operator_listener_ = std::move(operators).value();
  operator_listener_->set_body_policy(
      {.admit = [this](const net::HttpRequest& head) {
        return operator_api_.AdmitBody(head);
      }});
  if (auto control = control_listener_.Listen(settings_.control_listen);
      !control) {
    return control.error();
  }
  if (auto gossip = membership_.Listen(settings_.gossip_listen); !gossip)
    return gossip.error();
  if (auto metrics = ListenForMetrics(); !metrics)
    return metrics.error();
  return local_server_.Listen(settings_.server_listen);
}

base::Result<bool> ControlPlane::ListenForMetrics() {
  if (settings_.metrics_listen.port == 0)
    return true;
  auto opened = net::HttpServer::Open(
      loop_, settings_.metrics_listen, client_limits::ListenerLimits::Small(),
      [this](const net::HttpRequest& request, net::Reply reply) {
        if (request.method == "GET" &&
            operators::IsMetricsTarget(request.target))
          metrics_.Answer(request.target, std::move(reply));
        else
          reply.Send(net::MakeErrorAnswer(base::ErrorKind::kNotFound));
      });
  if (!opened)
    return opened.error();
  metrics_listener_ = std::move(opened).value();
  return true;
}

void ControlPlane::Start(const base::SocketAddress& peer_address) {
  const base::SocketAddress& advertised = settings_.peer_advertised;
  self_.peer_address = advertised.port != 0 ? advertised : peer_address;
  self_.operator_address = operator_address();
  self_.control_address = control_address();
  self_.gossip_address = gossip_address();
  membership_.OnRevisionReported(
      [this](uint64_t revision, const membership::Member& from) {
        proof_exchange_.OnRevisionReported(revision);
        configuration_.OnRevisionReported(revision, from);
      });
  membership_.OnOtherStoreEntries(
      [this](const std::vector<store::StoreEntry>& others, bool keeps_first) {
        evidence_store_.OnListed(others, keeps_first);
      });
  membership_.OnEvidence([this] { quarantine_.OnEvidenceReceived(); });
  membership_.OnEvacuations(
      [this](const evacuation::Evacuations& held) { OnEvacuations(held); });
  membership_.OnPredecessor([this](const membership::Member& predecessor) {
    if (predecessor.departure)
      local_server_.OnDepartureInherited(*predecessor.departure);
  });
  quarantine_.OnAnnounce(
      [this](std::span<const base::RequestFingerprint> told) {
        membership_.AnnounceEvidence(told);
      });
  limits_.Start(self_);
  membership_.OnDirect(
      fleet::Channel::kLimits,
      [this](const base::SocketAddress& from, std::string_view payload) {
        limits_.OnDatagram(from, payload);
      });
  departure_store_.Start(DeparturesKey(settings_.fleet, self_.gossip_address),
                         !settings_.is_first_start);
  membership_.Start(self_, [this](std::vector<membership::Member> members) {
    OnMembers(std::move(members));
  });
  proof_exchange_.Start();
  configuration_.OnStoreRead(
      [this](uint64_t revision, base::BootInstant asked_at) {
        proof_exchange_.OnStoreRead(revision, asked_at);
      });
  configuration_.Start(
      [this](uint64_t revision) {
        membership_.AnnounceRevision(revision);
        limits_.SetLimits(
            ingress::LimitsOf(configuration_.configuration().tenants));
        StartServerDiscovery();
        PublishServer();
        PublishSnapshot();
        // After the snapshot, which the policy refers to.
        proof_exchange_.OnRevisionInForce(revision);
      },
      [this](bool /*is_behind*/) { PublishKeyPolicy(); });
  if (settings_.has_evacuations)
    evacuation_reader_.Start();
  PublishKeyView();
  PublishKeyPolicy();
}

void ControlPlane::BeginStop() {
  stopping_ = true;
  limits_.HandOver();
}

void ControlPlane::AskForTokens(
    const std::vector<limits::LimitRequest>& requests) {
  for (const limits::LimitRequest& request : requests)
    limits_.Ask(request);
}

limit_service::LimitCoordinator::Outputs ControlPlane::LimitOutputs() {
  return {.call_store =
              [this](const limits::StoreOperation& operation, auto handler) {
                allocator_store_.Execute(operation, std::move(handler));
              },
          .send =
              [this](const base::SocketAddress& to, std::string_view payload) {
                membership_.SendDirect(to, fleet::Channel::kLimits, payload);
              },
          .set_allocator =
              [this](uint64_t epoch) { outputs_.set_limit_allocator(epoch); },
          .deliver =
              [this](const limits::LimitAnswer& answer) {
                outputs_.deliver_limit_answer(answer);
              }};
}

void ControlPlane::Drain(server::DrainSource source) {
  local_server_.Drain(source);
}

bool ControlPlane::IsReady() const {
  return !stopping_ && configuration_.configuration().revision > 0;
}

void ControlPlane::SetDraining(bool draining) {
  if (draining)
    Drain(server::DrainSource::kOperator);
  else
    Undrain(server::DrainSource::kOperator);
}

void ControlPlane::AddControlCalls() {
  control_listener_.Add(operators::kAllocationMethod,
                        [this](const std::string& /*params*/) {
                          return operators::AllocationToJson(limits_.Report());
                        });
  control_listener_.Add(
      operators::kDrainMethod, [this](const std::string& params) {
        const auto drain_request = operators::DrainRequest::FromJson(params);
        if (!drain_request)
          return std::string();
        SetDraining(drain_request->draining);
        return std::string("{}");
      });
}

const base::SocketAddress& ControlPlane::operator_address() const {
  return operator_listener_->address();
}

const base::SocketAddress& ControlPlane::server_address() const {
  return local_server_.address();
}

const base::SocketAddress& ControlPlane::control_address() const {
  return control_listener_.address();
}

const base::SocketAddress& ControlPlane::gossip_address() const {
  return membership_.gossip_address();
}

void ControlPlane::OnMembers(std::vector<membership::Member> members) {
  if (members == members_)
    return;
  members_ = std::move(members);
  quarantine_.SetMembers(members_);
  limits_.SetMembers(members_);
  configuration_.SetMembers(self_, members_);
  proof_exchange_.SetMembers(self_, members_);
  evacuation_reader_.SetMembers(self_, members_);
  PublishSnapshot();
}

void ControlPlane::OnEvacuations(const evacuation::Evacuations& evacuations) {
  for (const std::string& name : evacuations.data_centres) {
    if (!evacuations_.Contains(name))
      telemetry::LogEvent(telemetry::Event::kEvacuated,
                          {{"data_centre", name}});
  }
  for (const std::string& name : evacuations_.data_centres) {
    if (!evacuations.Contains(name))
      telemetry::LogEvent(telemetry::Event::kEvacuationEnded,
                          {{"data_centre", name}});
  }
  evacuations_ = evacuations;
  if (evacuations_.Contains(self_.data_centre))
    local_server_.Drain(server::DrainSource::kEvacuation);
  else
    local_server_.Undrain(server::DrainSource::kEvacuation);
  PublishSnapshot();
}

void ControlPlane::Evacuate(
    const evacuation_store::EvacuationRequest& order,
    evacuation_store::EvacuationWriter::Handler handler) {
  if (!settings_.has_evacuations) {
    handler(base::make_error_code(base::ErrorKind::kNotFound));
    return;
  }
  evacuation_writer_.Execute(
      order, [this, handler = std::move(handler)](const auto& done) {
        evacuation_reader_.ReadNow();
        handler(done);
      });
}

void ControlPlane::OnLocalServerChanged() {
  const server::ServerState& server = local_server_.state();
  if (server.announced)
    server_discovery_.Stop();
  ++self_.incarnation;
  self_.departure = local_server_.departure();
  departure_store_.Keep(local_server_.departures());
  self_.server.reset();
  if (server.announced) {
    self_.server =
        membership::ServerAnnouncement{server.service, server.admission.slots,
                                       server.draining, LocalServerRateLimit()};
  }
  membership_.Update(self_);
  PublishServer();
  PublishKeyPolicy();
}

void ControlPlane::OnStoreLossChanged(bool has_lost) {
  ++self_.incarnation;
  self_.has_lost_store = has_lost;
  membership_.Update(self_);
}

bool ControlPlane::IsDeclared(const std::string& service) const {
  return configuration_.configuration().FindService(service) != nullptr;
}

void ControlPlane::StartServerDiscovery() {
  const auto* declared =
      configuration_.configuration().FindService(settings_.service);
  if (declared) {
    server_discovery_.Start(
        {settings_.server_address, settings_.service, declared->health_path});
  }
}

void ControlPlane::OnGateReport(const gate::GateReport& report) {
  gate_report_ = report;
  if (!wire::AreSimilarRates(published_rate_limit_, report.rate_limit)) {
    published_rate_limit_ = report.rate_limit;
    OnLocalServerChanged();
  }
  local_server_.OnAnswer(report.last_answer);
  local_server_.OnColdReported(report.life, report.cold_until);
  local_server_.OnLeavingReported(report.life, report.is_leaving);
  local_server_.OnReplacedReported(report.life, report.is_replaced);
}

}  // namespace chestnutport::node
