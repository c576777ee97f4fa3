// Concept of a policy for choosing servers, satisfied by the shipped chooser
// and all baselines.
#ifndef DECISIONS_CHOOSING_POLICY_H_
#define DECISIONS_CHOOSING_POLICY_H_

#include <concepts>
#include <span>
#include <string_view>
#include <vector>

#include "decisions/simulated_fleet.h"
#include "routing/attempt_result.h"
#include "routing/locality.h"
#include "routing/server_candidate.h"

namespace chestnutport::bench {

// The node at which a policy decides. Only the omniscient policy may use
// `fleet`.
struct PolicyContext {
  const SimulatedFleet& fleet;
  int vm;
  routing::Locality locality;
};

template <typename T>
concept ChoosingPolicy = std::constructible_from<T, const PolicyContext&> &&
    requires(T policy,
             const std::vector<routing::ServerCandidate>& servers,
             std::span<const base::NodeId> excluded,
             base::NodeId node,
             const routing::AttemptResult& result,
             base::Instant now,
             base::Random& random) {
  { T::kName } -> std::convertible_to<std::string_view>;
  policy.SetServers(servers, now);
  {
    policy.Choose(excluded, now, random)
    } -> std::convertible_to<const routing::ServerCandidate*>;
  policy.OnSent(node, now);
  policy.OnEnded(node, result, now);
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_CHOOSING_POLICY_H_
