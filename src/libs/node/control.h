// The control thread of a node: membership, configuration, the operators' API,
// and the announcements of this node's own server.
#ifndef NODE_CONTROL_H_
#define NODE_CONTROL_H_

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
#include "fleet/evidence_store.h"
#include "fleet/fleet_membership.h"
#include "fleet/request_quarantine.h"
#include "fleet_configuration/configuration_manager.h"
#include "gate/gate_report.h"
#include "ingress/traffic_snapshot.h"
#include "keys/key_ownership.h"
#include "membership/member.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/adapters.h"
#include "operators/metrics_api.h"
#include "operators/operator_api.h"
#include "server/own_server.h"
#include "server/server_finder.h"
#include "settings/node_settings.h"
#include "store/store_client.h"

namespace chestnutport::node {

class Control {
 public:
  // How the control thread reaches the others. Each is called on the control
  // thread and must not block.
  struct Outputs {
    std::function<void(ingress::TrafficSnapshot)> publish_snapshot;
    std::function<void(server::ServerState)> publish_server;
    std::function<void(const quarantine::SharedVerdicts&)> publish_verdicts;
    // The nodes of this node's service, repeated also without a change.
    std::function<void(std::vector<keys::OwnerNode>, base::Instant as_of)>
        publish_key_view;
  };

  // `loop` and `metrics` must outlive the control.
  Control(net::EventLoop& loop,
          const settings::NodeSettings& settings,
          membership::Member self,
          const control_calls::PeerKeys& keys,
          operators::MetricsCollector& metrics,
          const Adapters& adapters,
          Outputs outputs,
          const base::Random& random);
  ~Control();

  // Binds the listeners of this thread. Call before the loop runs.
  base::Result<bool> Listen();
  // Takes the address of the gate's listener, and starts.
  void Start(const base::SocketAddress& peer_address);
  // Makes the fleet stop sending work here.
  void Drain(server::DrainSource source);
  // From now on callers are told that this node is not ready.
  void BeginStop() { stopping_ = true; }
  void Undrain(server::DrainSource source) { own_server_.Undrain(source); }
  void OnGateReport(const gate::GateReport& report);
  // Of this node's server.
  void OnServerCrash(const quarantine::ServerCrash& crash) {
    quarantine_.OnServerCrash(crash);
  }
  void OnSuspectAnswered(base::RequestFingerprint fingerprint) {
    quarantine_.OnAnswered(fingerprint);
  }

  // The addresses of this thread's listeners, bound.
  const base::SocketAddress& operator_address() const;
  const base::SocketAddress& server_address() const;
  const base::SocketAddress& control_address() const;
  const base::SocketAddress& gossip_address() const;

 private:
  // What the operators' API shows and does.
  operators::OperatedNode ForOperators();
  bool IsReady() const;
  void SetDraining(bool draining);
  // Reads the store anew after it.
  void Evacuate(const evacuation_store::EvacuationRequest& order,
                evacuation_store::EvacuationWriter::Handler handler);
  base::Result<bool> ListenForMetrics();
  void OnMembers(std::vector<membership::Member> members);
  void OnEvacuations(const evacuation::Evacuations& evacuations);
  void OnOwnServerChanged();
  void TellStoreLost(bool has_lost);
  bool IsDeclared(const std::string& service) const;
  // Requests a second that the own server is given while it is cold; zero: it
  // is warm, or the rate is not limited.
  double OwnColdRate() const;
  void PublishServer();
  void PublishSnapshot();
  void FindServer();
  void AddControlCalls();
  void PublishKeyView();

  net::EventLoop& loop_;
  const settings::NodeSettings& settings_;
  membership::Member self_;
  Outputs outputs_;
  net::HttpClient store_http_;
  store::StoreClient store_;
  control_calls::ControlListener control_listener_;
  control_calls::ControlCaller control_caller_;
  fleet::RequestQuarantine quarantine_;
  fleet::FleetMembership membership_;
  fleet::EvidenceStore evidence_store_;
  fleet_configuration::ConfigurationManager configuration_;
  evacuation_store::EvacuationReader evacuation_reader_;
  evacuation_store::EvacuationWriter evacuation_writer_;
  evacuation::Evacuations evacuations_;
  server::OwnServer own_server_;
  server::ServerFinder server_finder_;
  operators::MetricsApi metrics_;
  operators::OperatorApi operator_api_;
  std::unique_ptr<net::HttpServer> operator_listener_;
  // Open to whoever gathers metrics, without a token; null: not asked for.
  std::unique_ptr<net::HttpServer> metrics_listener_;
  std::vector<membership::Member> members_;
  size_t most_members_ = 1;
  gate::GateReport gate_report_;
  bool stopping_ = false;
  net::EventLoop::TimerId key_view_timer_ = 0;
};

}  // namespace chestnutport::node

#endif  // NODE_CONTROL_H_
