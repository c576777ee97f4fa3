#include "decisions/baselines.h"

#include <algorithm>
#include <limits>
#include <random>

#include "decisions/workload.h"

namespace chestnutport::bench {

using routing::ServerCandidate;

void BaselinePolicy::SetServers(const std::vector<ServerCandidate>& servers,
                                base::Instant /*now*/) {
  servers_ = servers;
}

void BaselinePolicy::OnSent(base::NodeId node, base::Instant /*now*/) {
  ++in_flight_[node];
}

void BaselinePolicy::OnEnded(base::NodeId node,
                             const routing::AttemptResult& result,
                             base::Instant /*now*/) {
  --in_flight_[node];
  if (result.load)
    reports_[node] = *result.load;
}

std::vector<const ServerCandidate*> BaselinePolicy::Usable(
    std::span<const base::NodeId> excluded) const {
  auto usable = In(routing::ServerState::kServing, excluded);
  if (usable.empty())
    usable = In(routing::ServerState::kSuspected, excluded);
  return usable;
}

std::vector<const ServerCandidate*> BaselinePolicy::In(
    routing::ServerState state,
    std::span<const base::NodeId> excluded) const {
  std::vector<const ServerCandidate*> found;
  for (const ServerCandidate& server : servers_) {
    if (server.state == state &&
        std::ranges::find(excluded, server.node) == excluded.end()) {
      found.push_back(&server);
    }
  }
  return found;
}

int BaselinePolicy::InFlight(base::NodeId node) const {
  const auto found = in_flight_.find(node);
  return found == in_flight_.end() ? 0 : found->second;
}

const wire::LoadReport* BaselinePolicy::Report(base::NodeId node) const {
  const auto found = reports_.find(node);
  return found == reports_.end() ? nullptr : &found->second;
}

const ServerCandidate* RandomPolicy::Choose(
    std::span<const base::NodeId> excluded,
    base::Instant /*now*/,
    base::Random& random) {
  const auto usable = Usable(excluded);
  if (usable.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> any(0, usable.size() - 1);
  return usable[any(random)];
}

const ServerCandidate* RoundRobinPolicy::Choose(
    std::span<const base::NodeId> excluded,
    base::Instant /*now*/,
    base::Random& /*random*/) {
  const auto usable = Usable(excluded);
  return usable.empty() ? nullptr : usable[next_++ % usable.size()];
}

const ServerCandidate* LeastLocalInFlightPolicy::Choose(
    std::span<const base::NodeId> excluded,
    base::Instant /*now*/,
    base::Random& random) {
  auto usable = Usable(excluded);
  std::ranges::shuffle(usable, random);
  const auto least = std::ranges::min_element(
      usable, {},
      [this](const auto* server) { return InFlight(server->node); });
  return least == usable.end() ? nullptr : *least;
}

const ServerCandidate* TwoChoicesPolicy::Choose(
    std::span<const base::NodeId> excluded,
    base::Instant /*now*/,
    base::Random& random) {
  const auto usable = Usable(excluded);
  if (usable.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> any(0, usable.size() - 1);
  const ServerCandidate* first = usable[any(random)];
  const ServerCandidate* second = usable[any(random)];
  const auto load = [this](const ServerCandidate* server) {
    const auto* report = Report(server->node);
    return report ? report->in_flight + report->queued : 0;
  };
  return load(second) < load(first) ? second : first;
}

const ServerCandidate* OmniscientPolicy::Choose(
    std::span<const base::NodeId> excluded,
    base::Instant now,
    base::Random& random) {
  const ServerCandidate* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  auto usable = Usable(excluded);
  std::ranges::shuffle(usable, random);
  for (const ServerCandidate* server : usable) {
    const SimulatedServer& exact = *fleet_.Find(server->node);
    if (!exact.is_up() || exact.IsDraining() || exact.IsFailing())
      continue;
    const double time = ExpectedTime(exact, now);
    if (time < least) {
      least = time;
      best = server;
    }
  }
  return best;
}

double OmniscientPolicy::ExpectedTime(const SimulatedServer& server,
                                      base::Instant now) const {
  const double slots = server.candidate().slots;
  const double ahead = std::max(0.0, server.outstanding() - slots + 1);
  const double work = std::chrono::duration<double>(
                          MeanSlotTime(fleet_.shape(), fleet_.condition()))
                          .count();
  const double distance =
      std::chrono::duration<double>(fleet_.Distance(vm_, server.vm())).count();
  return 2 * distance +
         work * (1 + ahead / slots) / server.speed().SpeedAt(now);
}

}  // namespace chestnutport::bench
