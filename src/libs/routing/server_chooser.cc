#include "routing/server_chooser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chestnutport::routing {
namespace {

// Servers weighed for a choice: from all, and from the own data centre, as
// bytes between data centres cost.
constexpr int kDrawn = 3;
constexpr int kDrawnNear = 2;
// The time of a near server counts so much less while it is no slower than
// usual and no more than this part of its places is taken.
constexpr double kNearGain = 0.8;
constexpr double kRoomyLoad = 0.6;
constexpr double kUsualStrain = 1.5;

}  // namespace

struct ServerChooser::Best {
  const Known* server = nullptr;
  Seconds time{std::numeric_limits<double>::infinity()};
};

ServerChooser::ServerChooser(Place own_place)
    : own_place_(std::move(own_place)) {}

void ServerChooser::SetServers(const std::vector<ServerCandidate>& servers,
                               base::Instant now) {
  std::vector<Known> next;
  next.reserve(servers.size());
  for (const ServerCandidate& candidate : servers) {
    const auto old = positions_.find(candidate.node);
    Known known{candidate, {}, own_place_.DistanceTo(candidate)};
    if (old != positions_.end())
      known.estimate = servers_[old->second].estimate;
    else if (!servers_.empty())
      known.estimate.StartCold(now);
    next.push_back(std::move(known));
  }
  servers_ = std::move(next);
  positions_.clear();
  serving_.clear();
  near_.clear();
  serving_in_.clear();
  suspected_.clear();
  for (uint32_t position = 0; position < servers_.size(); ++position)
    Index(position);
}

void ServerChooser::Index(uint32_t position) {
  const ServerCandidate& candidate = servers_[position].candidate;
  positions_[candidate.node] = position;
  if (candidate.state == ServerState::kSuspected)
    suspected_.push_back(position);
  if (candidate.state != ServerState::kServing)
    return;
  serving_.push_back(position);
  serving_in_[candidate.region].push_back(position);
  if (candidate.data_centre == own_place_.data_centre)
    near_.push_back(position);
}

const ServerCandidate* ServerChooser::ChooseAdmitted(
    const ServerFilter& filter,
    base::Instant now,
    base::Random& random) const {
  Best best;
  DrawOwn(filter, now, best);
  if (filter.AdmitsRegion(own_place_.region))
    Draw(near_, kDrawnNear, filter, now, random, best);
  DrawServing(filter, now, random, best);
  if (!best.server)
    best.server = Any(serving_, filter, random);
  if (!best.server)
    best.server = Any(suspected_, filter, random);
  return best.server ? &best.server->candidate : nullptr;
}

void ServerChooser::DrawOwn(const ServerFilter& filter,
                            base::Instant now,
                            Best& best) const {
  const auto found = positions_.find(own_place_.node);
  if (found == positions_.end())
    return;
  const Known& server = servers_[found->second];
  if (server.candidate.state == ServerState::kServing &&
      filter.Admits(server.candidate)) {
    Weigh(server, filter, now, best);
  }
}

void ServerChooser::DrawServing(const ServerFilter& filter,
                                base::Instant now,
                                base::Random& random,
                                Best& best) const {
  if (filter.regions.empty()) {
    Draw(serving_, kDrawn, filter, now, random, best);
    return;
  }
  for (const std::string& region : filter.regions) {
    const auto found = serving_in_.find(region);
    if (found != serving_in_.end())
      Draw(found->second, kDrawn, filter, now, random, best);
  }
}

void ServerChooser::Draw(const Indexes& from,
                         int wanted,
                         const ServerFilter& filter,
                         base::Instant now,
                         base::Random& random,
                         Best& best) const {
  if (from.empty())
    return;
  std::uniform_int_distribution<size_t> any(0, from.size() - 1);
  for (int i = 0; i < wanted; ++i) {
    const Known& server = servers_[from[any(random)]];
    if (filter.Admits(server.candidate))
      Weigh(server, filter, now, best);
  }
}

const ServerChooser::Known* ServerChooser::Any(const Indexes& from,
                                               const ServerFilter& filter,
                                               base::Random& random) const {
  if (from.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> any(0, from.size() - 1);
  const size_t start = any(random);
  // One step more than there are excluded finds one if there is any; where
  // regions are left out, all may have to be looked at.
  const size_t steps = filter.regions.empty()
                           ? std::min(from.size(), filter.excluded.size() + 1)
                           : from.size();
  for (size_t i = 0; i < steps; ++i) {
    const Known& server = servers_[from[(start + i) % from.size()]];
    if (filter.Admits(server.candidate))
      return &server;
  }
  return nullptr;
}

void ServerChooser::Weigh(const Known& server,
                          const ServerFilter& filter,
                          base::Instant now,
                          Best& best) const {
  const Seconds expected =
      server.estimate.ExpectedTime(SlotsOf(server.candidate), service_, now);
  Seconds time = server.distance + expected;
  if (filter.prefers_near && IsNearWithRoom(server, now))
    time *= kNearGain;
  if (time < best.time) {
    best.time = time;
    best.server = &server;
  }
}

int ServerChooser::SlotsOf(const ServerCandidate& candidate) const {
  const int slots = std::max(1, candidate.slots);
  if (candidate.cold_rate <= 0)
    return slots;
  const double at_once =
      candidate.cold_rate * service_.typical_latency().count();
  return std::clamp(static_cast<int>(at_once), 1, slots);
}

bool ServerChooser::IsNearWithRoom(const Known& server,
                                   base::Instant now) const {
  if (server.candidate.data_centre != own_place_.data_centre)
    return false;
  const int slots = SlotsOf(server.candidate);
  return server.estimate.Load(slots, service_, now) <= kRoomyLoad &&
         server.estimate.Strain(service_, now) < kUsualStrain;
}

void ServerChooser::OnSent(base::NodeId node, base::Instant now) {
  const auto found = positions_.find(node);
  if (found != positions_.end())
    servers_[found->second].estimate.OnSent(now);
}

void ServerChooser::OnEnded(base::NodeId node,
                            const AttemptResult& result,
                            base::Instant now) {
  const auto found = positions_.find(node);
  if (found == positions_.end())
    return;
  Known& server = servers_[found->second];
  server.estimate.OnEnded(result, SlotsOf(server.candidate), service_, now);
}

int ServerChooser::InFlight(base::NodeId node) const {
  const auto found = positions_.find(node);
  return found == positions_.end()
             ? 0
             : servers_[found->second].estimate.in_flight_here();
}

}  // namespace chestnutport::routing
