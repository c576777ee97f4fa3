// The control plane of a node: membership, configuration, the operators' API
// and the announcements of the local server. Runs on the control thread.
#ifndef NODE_CONTROL_PLANE_H_
#define NODE_CONTROL_PLANE_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "control_calls/control_caller.h"
#include "control_calls/control_listener.h"
#include "control_calls/peer_keys.h"
#include "evacuation_store/evacuation_reader.h"
#include "evacuation_store/evacuation_writer.h"
#include "fleet/departure_store.h"
#include "fleet/evidence_store.h"
#include "fleet/fleet_membership.h"
#include "fleet/request_quarantine.h"
#include "fleet_configuration/configuration_manager.h"
#include "freshness/key_policy.h"
#include "freshness_service/proof_exchange.h"
#include "gate/gate_report.h"
#include "http_client/http_client.h"
#include "ingress/key_policy.h"
#include "ingress/traffic_snapshot.h"
#include "keys/key_ownership.h"
#include "limit_service/allocator_store.h"
#include "limit_service/limit_coordinator.h"
#include "limits/limit_messages.h"
#include "limits/tenant_limiter.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/adapters.h"
#include "operators/metrics_api.h"
#include "operators/operator_api.h"
#include "server/local_server.h"
#include "server/server_discovery.h"
#include "settings/node_settings.h"
#include "store/store_client.h"

namespace chestnutport::node {

class ControlPlane {
 public:
  // Functions that publish state to the traffic threads. They are called on the
  // control thread and must not block.
  struct Outputs {
    std::function<void(ingress::TrafficSnapshot)> publish_snapshot;
    // Applies to the configuration of the last snapshot that was published
    // before it.
    std::function<void(const ingress::KeyPolicy&)> publish_key_policy;
    std::function<void(server::ServerState)> publish_server;
    std::function<void(const quarantine::SharedVerdicts&)> publish_verdicts;
    // The nodes that serve this node's service. Published periodically even if
    // unchanged, because a view is valid only for a limited time.
    std::function<void(std::vector<keys::OwnerNode>, base::Instant as_of)>
        publish_key_view;
    // Which allocator of rate limits the ingress asks, and its answers.
    std::function<void(uint64_t epoch)> set_limit_allocator;
    std::function<void(const limits::LimitAnswer&)> deliver_limit_answer;
    // Passes what the ingress holds of limits to a function that is called on
    // the control thread.
    std::function<void(
        std::function<void(std::vector<limits::TenantLimiterView>)>)>
        read_limiter;
  };

  // `loop`, `settings` and `metrics` must outlive this object.
  ControlPlane(net::EventLoop& loop,
               const settings::NodeSettings& settings,
               membership::Member self,
               const control_calls::PeerKeys& keys,
               operators::MetricsCollector& metrics,
               const Adapters& adapters,
               Outputs outputs,
               const base::Random& random);
  ~ControlPlane();

  // Binds the listeners of the control thread. Call before the loop runs.
  base::Result<bool> Listen();
  // Starts the control plane. `peer_address` is the address of the gate's
  // listener.
  void Start(const base::SocketAddress& peer_address);
  // Makes the fleet stop sending requests to the local server.
  void Drain(server::DrainSource source);
  // Makes the readiness check fail from now on, and hands over the duties of
  // this node that others wait for.
  void BeginStop();
  // Sends requests of the ingress for tokens of rate limits.
  void AskForTokens(const std::vector<limits::LimitRequest>& requests);
  void Undrain(server::DrainSource source) { local_server_.Undrain(source); }
  void OnGateReport(const gate::GateReport& report);
  // Called when the local server has crashed.
  void OnServerCrash(const quarantine::ServerCrash& crash) {
    quarantine_.OnServerCrash(crash);
  }
  void OnSuspectAnswered(base::RequestFingerprint fingerprint) {
    quarantine_.OnAnswered(fingerprint);
  }

  // Bound addresses of the listeners.
  const base::SocketAddress& operator_address() const;
  const base::SocketAddress& server_address() const;
  const base::SocketAddress& control_address() const;
  const base::SocketAddress& gossip_address() const;

 private:
  // Returns what the operators' API may read and change.
  operators::ManagedNode MakeManagedNode();
  bool IsReady() const;
  void SetDraining(bool draining);
  // Executes an operator's request, then reads the evacuations from the store
  // again.
  void Evacuate(const evacuation_store::EvacuationRequest& order,
                evacuation_store::EvacuationWriter::Handler handler);
  base::Result<bool> ListenForMetrics();
  void OnMembers(std::vector<membership::Member> members);
  void OnEvacuations(const evacuation::Evacuations& evacuations);
  void OnLocalServerChanged();
  void OnStoreLossChanged(bool has_lost);
  bool IsDeclared(const std::string& service) const;
  // Returns the requests per second that the local server accepts: the lower of
  // the limit that it states and that of a cold server. Zero if unlimited.
  double LocalServerRateLimit() const;
  void PublishServer();
  void PublishSnapshot();
  void PublishKeyPolicy();
  void StartServerDiscovery();
  void AddControlCalls();
  void PublishKeyView();
  limit_service::LimitCoordinator::Outputs LimitOutputs();

  net::EventLoop& loop_;
  const settings::NodeSettings& settings_;
  membership::Member self_;
  Outputs outputs_;
  http_client::HttpClient store_http_;
  store::StoreClient store_;
  control_calls::ControlListener control_listener_;
  control_calls::ControlCaller control_caller_;
  fleet::RequestQuarantine quarantine_;
  fleet::FleetMembership membership_;
  fleet::EvidenceStore evidence_store_;
  limit_service::AllocatorStore allocator_store_;
  limit_service::LimitCoordinator limits_;
  fleet_configuration::ConfigurationManager configuration_;
  const base::BootInstant started_at_ = base::BootClock::now();
  freshness::KeyPolicy freshness_policy_;  // As last published by the exchange.
  freshness_service::ProofExchange proof_exchange_;
  evacuation_store::EvacuationReader evacuation_reader_;
  evacuation_store::EvacuationWriter evacuation_writer_;
  evacuation::Evacuations evacuations_;
  fleet::DepartureStore departure_store_;
  server::LocalServer local_server_;
  server::ServerDiscovery server_discovery_;
  operators::MetricsApi metrics_;
  operators::OperatorApi operator_api_;
  std::unique_ptr<net::HttpServer> operator_listener_;
  // Serves metrics without a token; null if not configured.
  std::unique_ptr<net::HttpServer> metrics_listener_;
  std::vector<membership::Member> members_;
  size_t max_members_seen_ = 1;
  gate::GateReport gate_report_;
  // The stated rate limit of the local server that others were told last.
  std::optional<double> published_rate_limit_;
  bool stopping_ = false;
  net::EventLoop::TimerId key_view_timer_ = 0;
};

}  // namespace chestnutport::node

#endif  // NODE_CONTROL_PLANE_H_
