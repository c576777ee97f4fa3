// Baseline policies for choosing servers, with which the shipped one is
// compared.
#ifndef DECISIONS_BASELINES_H_
#define DECISIONS_BASELINES_H_

#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "decisions/choosing_policy.h"

namespace chestnutport::bench {

// Common base of the baselines: keeps the candidates, the requests in flight
// and the latest load reports.
class BaselinePolicy {
 public:
  explicit BaselinePolicy(const PolicyContext&) {}
  void SetServers(const std::vector<routing::ServerCandidate>& servers,
                  base::Instant now);
  void OnSent(base::NodeId node, base::Instant now);
  void OnEnded(base::NodeId node,
               const routing::AttemptResult& result,
               base::Instant now);

 protected:
  using Candidate = routing::ServerCandidate;

  // Returns the serving servers that are not excluded, or if there are none,
  // the suspected ones.
  std::vector<const Candidate*> Usable(
      std::span<const base::NodeId> excluded) const;
  int InFlight(base::NodeId node) const;
  const wire::LoadReport* Report(base::NodeId node) const;

 private:
  std::vector<const Candidate*> In(
      routing::ServerState state,
      std::span<const base::NodeId> excluded) const;

  std::vector<Candidate> servers_;
  absl::flat_hash_map<base::NodeId, int> in_flight_;
  absl::flat_hash_map<base::NodeId, wire::LoadReport> reports_;
};

class RandomPolicy : public BaselinePolicy {
 public:
  static constexpr std::string_view kName = "random";
  using BaselinePolicy::BaselinePolicy;
  const routing::ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                         base::Instant now,
                                         base::Random& random);
};

class RoundRobinPolicy : public BaselinePolicy {
 public:
  static constexpr std::string_view kName = "round-robin";
  using BaselinePolicy::BaselinePolicy;
  const routing::ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                         base::Instant now,
                                         base::Random& random);

 private:
  size_t next_ = 0;
};

// Chooses the server with the fewest requests of this node in flight.
class LeastLocalInFlightPolicy : public BaselinePolicy {
 public:
  static constexpr std::string_view kName = "least-known-here";
  using BaselinePolicy::BaselinePolicy;
  const routing::ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                         base::Instant now,
                                         base::Random& random);
};

// Chooses the less loaded of two random servers by their last load reports.
class TwoChoicesPolicy : public BaselinePolicy {
 public:
  static constexpr std::string_view kName = "two-choices";
  using BaselinePolicy::BaselinePolicy;
  const routing::ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                         base::Instant now,
                                         base::Random& random);
};

// Upper bound: knows all counts, speeds and distances without delay, and
// chooses the server that would answer first.
class OmniscientPolicy : public BaselinePolicy {
 public:
  static constexpr std::string_view kName = "omniscient";
  explicit OmniscientPolicy(const PolicyContext& context)
      : BaselinePolicy(context), fleet_(context.fleet), vm_(context.vm) {}
  const routing::ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                         base::Instant now,
                                         base::Random& random);

 private:
  double ExpectedTime(const SimulatedServer& server, base::Instant now) const;

  const SimulatedFleet& fleet_;
  int vm_;
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_BASELINES_H_
