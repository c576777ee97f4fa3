#include "routing/server_chooser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chestnutport::routing {
namespace {

// Servers sampled for a choice: from all, and in addition from the local data
// centre, because traffic between data centres costs money.
constexpr int kSampleSize = 3;
constexpr int kLocalSampleSize = 2;
// Factor applied to the expected time of a local server while its load is at
// most kMaxLocalLoad and its strain is below kMaxLocalStrain.
constexpr double kLocalTimeFactor = 0.8;
constexpr double kMaxLocalLoad = 0.6;
constexpr double kMaxLocalStrain = 1.5;

}  // namespace

struct ServerChooser::BestCandidate {
  const Entry* server = nullptr;
  Seconds time{std::numeric_limits<double>::infinity()};
};

ServerChooser::ServerChooser(Locality own_locality)
    : own_locality_(std::move(own_locality)) {}

void ServerChooser::SetServers(const std::vector<ServerCandidate>& servers,
                               base::Instant now) {
  std::vector<Entry> next;
  next.reserve(servers.size());
  for (const ServerCandidate& candidate : servers) {
    const auto old = positions_.find(candidate.node);
    Entry known{candidate, {}, own_locality_.RoundTripTo(candidate)};
    if (old != positions_.end())
      known.estimate = servers_[old->second].estimate;
    else if (!servers_.empty())
      known.estimate.StartWarmUp(now);
    next.push_back(std::move(known));
  }
  servers_ = std::move(next);
  positions_.clear();
  serving_.clear();
  local_.clear();
  serving_in_.clear();
  suspected_.clear();
  for (uint32_t position = 0; position < servers_.size(); ++position)
    AddToIndexes(position);
}

void ServerChooser::AddToIndexes(uint32_t position) {
  const ServerCandidate& candidate = servers_[position].candidate;
  positions_[candidate.node] = position;
  if (candidate.state == ServerState::kSuspected)
    suspected_.push_back(position);
  if (candidate.state != ServerState::kServing)
    return;
  serving_.push_back(position);
  serving_in_[candidate.region].push_back(position);
  if (candidate.data_centre == own_locality_.data_centre)
    local_.push_back(position);
}

const ServerCandidate* ServerChooser::ChooseAdmitted(
    const ServerFilter& filter,
    base::Instant now,
    base::Random& random) const {
  BestCandidate best;
  ConsiderOwnServer(filter, now, best);
  if (filter.AdmitsRegion(own_locality_.region))
    Sample(local_, kLocalSampleSize, filter, now, random, best);
  SampleServing(filter, now, random, best);
  if (!best.server)
    best.server = FindAny(serving_, filter, random);
  if (!best.server)
    best.server = FindAny(suspected_, filter, random);
  return best.server ? &best.server->candidate : nullptr;
}

void ServerChooser::ConsiderOwnServer(const ServerFilter& filter,
                                      base::Instant now,
                                      BestCandidate& best) const {
  const auto found = positions_.find(own_locality_.node);
  if (found == positions_.end())
    return;
  const Entry& server = servers_[found->second];
  if (server.candidate.state == ServerState::kServing &&
      filter.Admits(server.candidate)) {
    Consider(server, filter, now, best);
  }
}

void ServerChooser::SampleServing(const ServerFilter& filter,
                                  base::Instant now,
                                  base::Random& random,
                                  BestCandidate& best) const {
  if (filter.regions.empty()) {
    Sample(serving_, kSampleSize, filter, now, random, best);
    return;
  }
  for (const std::string& region : filter.regions) {
    const auto found = serving_in_.find(region);
    if (found != serving_in_.end())
      Sample(found->second, kSampleSize, filter, now, random, best);
  }
}

void ServerChooser::Sample(const Indexes& from,
                           int sample_size,
                           const ServerFilter& filter,
                           base::Instant now,
                           base::Random& random,
                           BestCandidate& best) const {
  if (from.empty())
    return;
  std::uniform_int_distribution<size_t> any(0, from.size() - 1);
  for (int i = 0; i < sample_size; ++i) {
    const Entry& server = servers_[from[any(random)]];
    if (filter.Admits(server.candidate))
      Consider(server, filter, now, best);
  }
}

const ServerChooser::Entry* ServerChooser::FindAny(const Indexes& from,
                                                   const ServerFilter& filter,
                                                   base::Random& random) const {
  if (from.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> any(0, from.size() - 1);
  const size_t start = any(random);
  // Without a region filter, one step more than there are excluded servers
  // suffices. With one, all servers may have to be checked.
  const size_t steps = filter.regions.empty()
                           ? std::min(from.size(), filter.excluded.size() + 1)
                           : from.size();
  for (size_t i = 0; i < steps; ++i) {
    const Entry& server = servers_[from[(start + i) % from.size()]];
    if (filter.Admits(server.candidate))
      return &server;
  }
  return nullptr;
}

void ServerChooser::Consider(const Entry& server,
                             const ServerFilter& filter,
                             base::Instant now,
                             BestCandidate& best) const {
  const Seconds expected = server.estimate.ExpectedTime(
      EffectiveSlots(server.candidate), service_, now);
  Seconds time = server.distance + expected;
  if (filter.prefers_local_data_centre && IsLocalWithCapacity(server, now))
    time *= kLocalTimeFactor;
  if (time < best.time) {
    best.time = time;
    best.server = &server;
  }
}

int ServerChooser::EffectiveSlots(const ServerCandidate& candidate) const {
  const int slots = std::max(1, candidate.slots);
  if (candidate.rate_limit <= 0)
    return slots;
  const double concurrency =
      candidate.rate_limit * service_.typical_latency().count();
  return std::clamp(static_cast<int>(concurrency), 1, slots);
}

bool ServerChooser::IsLocalWithCapacity(const Entry& server,
                                        base::Instant now) const {
  if (server.candidate.data_centre != own_locality_.data_centre)
    return false;
  const int slots = EffectiveSlots(server.candidate);
  return server.estimate.Load(slots, service_, now) <= kMaxLocalLoad &&
         server.estimate.Strain(service_, now) < kMaxLocalStrain;
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
  Entry& server = servers_[found->second];
  server.estimate.OnEnded(result, EffectiveSlots(server.candidate), service_,
                          now);
}

int ServerChooser::InFlight(base::NodeId node) const {
  const auto found = positions_.find(node);
  return found == positions_.end()
             ? 0
             : servers_[found->second].estimate.own_in_flight();
}

}  // namespace chestnutport::routing
