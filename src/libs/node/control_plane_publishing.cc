// Publishes state from the control thread to the traffic threads.
#include <algorithm>
#include <cmath>
#include <utility>

#include "ingress/key_owner_view.h"
#include "node/control_plane.h"
#include "routing/server_filter.h"

namespace chestnutport::node {
namespace {

// A view stays valid for several of these intervals.
constexpr std::chrono::milliseconds kKeyViewInterval(500);
// Published for a server that accepts nothing, as zero means unlimited.
constexpr double kMinPublishedRate = 0.01;
// A request that an earlier run of this node has sent to the server ends within
// this time.
constexpr std::chrono::minutes kMaxRequestTime(1);

routing::ServerCandidate ToCandidate(
    const membership::Member& member,
    const evacuation::Evacuations& evacuations) {
  routing::ServerCandidate candidate;
  candidate.node = member.id;
  candidate.peer_address = member.peer_address;
  candidate.data_centre = member.data_centre;
  candidate.region = member.region;
  candidate.slots = member.server->slots;
  candidate.rate_limit = member.server->rate_limit;
  if (member.server->draining || evacuations.Contains(member.data_centre))
    candidate.state = routing::ServerState::kDraining;
  else if (member.state == membership::MemberState::kSuspected)
    candidate.state = routing::ServerState::kSuspected;
  return candidate;
}

admission::ColdStartOptions ColdOptionsOf(
    const declarations::ServiceDeclaration& service,
    const settings::NodeSettings& settings) {
  return {.rate = service.cold_rate * settings.cold_rate_factor,
          .burst = settings.cold_burst,
          .after_start = service.cold_start};
}

void ApplyDeclaration(const declarations::ServiceDeclaration& service,
                      const settings::NodeSettings& settings,
                      server::ServerState& server) {
  admission::AdmissionOptions& options = server.admission;
  const double usable = std::floor(options.slots * service.usable_slots);
  options.slots =
      std::clamp(static_cast<int>(usable), 1, std::max(1, service.slots));
  options.queue = service.queue;
  options.cold_start = service.cold_start;
  options.cold = ColdOptionsOf(service, settings);
  for (const auto& declared : service.classes)
    options.shares.classes.push_back({declared.name, declared.urgency});
  for (const auto& declared : service.tenants)
    options.shares.tenants.push_back({declared.name, declared.share});
  options.adaptive = service.adapts_limit;
  server.probes.budget = service.probe_budget;
  server.probes.quiet = service.probe_quiet;
  server.probes.stale = service.probe_stale;
  if (server.health_path.empty())
    server.health_path = service.health_path;
}

}  // namespace

double ControlPlane::LocalServerRateLimit() const {
  const server::ServerState& server = local_server_.state();
  const auto* declared =
      configuration_.configuration().FindService(server.service);
  const bool is_cold = declared && base::Clock::now() < server.cold_until;
  const double cold = is_cold ? ColdOptionsOf(*declared, settings_).rate : 0;
  const bool is_stated =
      gate_report_.rate_limit && gate_report_.life == server.life;
  if (!is_stated)
    return cold;
  const double stated = std::max(*gate_report_.rate_limit, kMinPublishedRate);
  return cold > 0 ? std::min(cold, stated) : stated;
}

void ControlPlane::PublishServer() {
  server::ServerState server = local_server_.state();
  server.link_rate = settings_.link_rate;
  for (const auto& service : configuration_.configuration().services) {
    if (service.name == server.service)
      ApplyDeclaration(service, settings_, server);
  }
  outputs_.publish_server(std::move(server));
}

void ControlPlane::PublishSnapshot() {
  ingress::TrafficSnapshot snapshot;
  snapshot.configuration = configuration_.shared_configuration();
  for (const membership::Member& member : members_) {
    if (member.server && member.state != membership::MemberState::kGone)
      snapshot.servers[member.server->service].push_back(
          ToCandidate(member, evacuations_));
  }
  if (settings_.adapter != settings::AdapterKind::kOwn) {
    // Uses the maximum number of members seen, so that a partitioned node does
    // not take the other nodes' share of the fleet's retry budget.
    max_members_seen_ = std::max(max_members_seen_, members_.size());
    snapshot.retries = calls::PerNodeRetryLimit(
        {settings_.fleet_retry_share, settings_.fleet_retry_burst},
        max_members_seen_);
  }
  outputs_.publish_snapshot(std::move(snapshot));
}

void ControlPlane::PublishKeyPolicy() {
  ingress::KeyPolicy policy{.is_behind = configuration_.IsBehind() ||
                                         freshness_policy_.newer_revision_known,
                            .current_until = freshness_policy_.current_until};
  if (!settings_.is_first_start && !local_server_.has_seen_start())
    policy.earlier_requests_until = started_at_ + kMaxRequestTime;
  outputs_.publish_key_policy(policy);
}

void ControlPlane::PublishKeyView() {
  const std::string& service = local_server_.state().service;
  const auto* declared = configuration_.configuration().FindService(service);
  routing::ServerFilter filter;
  if (declared)
    filter.regions = declared->regions;
  std::vector<routing::ServerCandidate> servers;
  for (const membership::Member& member : members_) {
    if (member.server && filter.AdmitsRegion(member.region) &&
        member.state != membership::MemberState::kGone &&
        member.server->service == service) {
      servers.push_back(ToCandidate(member, evacuations_));
    }
  }
  // Reads the clock again instead of the loop time, which would be too early
  // after a delay of the loop.
  outputs_.publish_key_view(ingress::ToOwnerNodes(servers), base::Clock::now());
  key_view_timer_ =
      loop_.CallAfter(kKeyViewInterval, [this] { PublishKeyView(); });
}

}  // namespace chestnutport::node
