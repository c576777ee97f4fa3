// Chooses a server of one service for each attempt. Pure: time and random
// numbers are passed in, and nothing is sent or read here.
//
// A few servers are drawn, and the one whose answer is expected first is
// chosen. The cost of a choice does not depend on the number of servers.
// docs/design/routing.md has the ways weighed and their figures.
#ifndef ROUTING_SERVER_CHOOSER_H_
#define ROUTING_SERVER_CHOOSER_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "base/time.h"
#include "routing/attempt_result.h"
#include "routing/locality.h"
#include "routing/server_candidate.h"
#include "routing/server_estimate.h"
#include "routing/server_filter.h"
#include "routing/service_estimate.h"

namespace chestnutport::routing {

class ServerChooser {
 public:
  explicit ServerChooser(Locality own_locality);

  // Replaces the candidates; what was learned of those that stay is kept.
  void SetServers(const std::vector<ServerCandidate>& servers,
                  base::Instant now);

  // The server to send to, or null if there is none beside `excluded`. Valid
  // until the next SetServers().
  const ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                base::Instant now,
                                base::Random& random) const {
    return ChooseAdmitted({.excluded = excluded}, now, random);
  }
  // The same, among the servers that the filter admits.
  const ServerCandidate* ChooseAdmitted(const ServerFilter& filter,
                                        base::Instant now,
                                        base::Random& random) const;

  // Each OnSent() is followed by one OnEnded() for the same node. Both are
  // harmless for a node that is no candidate any more.
  void OnSent(base::NodeId node, base::Instant now);
  void OnEnded(base::NodeId node,
               const AttemptResult& result,
               base::Instant now);

  // How many times the usual work a good answer costs as a rule just now.
  double UsualStrain() const { return service_.usual_strain(); }
  size_t size() const { return servers_.size(); }
  // Requests sent from here to `node` and not ended.
  int InFlight(base::NodeId node) const;

 private:
  struct Entry {
    ServerCandidate candidate;
    ServerEstimate estimate;
    Seconds distance{};  // There and back.
  };
  using Indexes = std::vector<uint32_t>;
  struct BestCandidate;

  void ConsiderOwnServer(const ServerFilter& filter,
                         base::Instant now,
                         BestCandidate& best) const;
  void Sample(const Indexes& from,
              int sample_size,
              const ServerFilter& filter,
              base::Instant now,
              base::Random& random,
              BestCandidate& best) const;
  // From all that serve, or from those of each region that is admitted.
  void SampleServing(const ServerFilter& filter,
                     base::Instant now,
                     base::Random& random,
                     BestCandidate& best) const;
  // FindAny that is admitted, by walking on from a random one.
  const Entry* FindAny(const Indexes& from,
                       const ServerFilter& filter,
                       base::Random& random) const;
  // Whether bytes between data centres can be saved at no cost to the request.
  bool IsLocalWithCapacity(const Entry& server, base::Instant now) const;
  void Consider(const Entry& server,
                const ServerFilter& filter,
                base::Instant now,
                BestCandidate& best) const;
  void AddToIndexes(uint32_t position);
  // Requests that the server is given at a time, at its present rate.
  int EffectiveSlots(const ServerCandidate& candidate) const;

  Locality own_locality_;
  std::vector<Entry> servers_;
  absl::flat_hash_map<base::NodeId, uint32_t> positions_;
  Indexes serving_;
  Indexes local_;  // Those that serve in the own data centre.
  absl::flat_hash_map<std::string, Indexes> serving_in_;  // By region.
  Indexes suspected_;
  ServiceEstimate service_;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_CHOOSER_H_
