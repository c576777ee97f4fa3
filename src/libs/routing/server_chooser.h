// Chooses a server of one service for each attempt. Performs no I/O; time and
// random numbers are passed in.
//
// Samples a few servers at random and chooses the one with the shortest
// expected time to an answer, so the cost of a choice does not depend on the
// number of servers. docs/design/routing.md compares the alternatives.
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

  // Replaces the candidates. Keeps the estimates of servers that remain.
  void SetServers(const std::vector<ServerCandidate>& servers,
                  base::Instant now);

  // Returns the server to send to, or null if all are in `excluded`. The
  // pointer is valid until the next SetServers().
  const ServerCandidate* Choose(std::span<const base::NodeId> excluded,
                                base::Instant now,
                                base::Random& random) const {
    return ChooseAdmitted({.excluded = excluded}, now, random);
  }
  // Like Choose(), among the servers that `filter` admits.
  const ServerCandidate* ChooseAdmitted(const ServerFilter& filter,
                                        base::Instant now,
                                        base::Random& random) const;

  // Each OnSent() must be followed by one OnEnded() for the same node. Both
  // ignore nodes that are no longer candidates.
  void OnSent(base::NodeId node, base::Instant now);
  void OnEnded(base::NodeId node,
               const AttemptResult& result,
               base::Instant now);

  // Returns the current usual strain of the service's servers.
  double UsualStrain() const { return service_.usual_strain(); }
  size_t size() const { return servers_.size(); }
  // Returns the number of requests from this node in flight to `node`.
  int InFlight(base::NodeId node) const;

 private:
  struct Entry {
    ServerCandidate candidate;
    ServerEstimate estimate;
    Seconds distance{};  // Typical round trip.
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
  // Samples all serving servers, or those of each region the filter admits.
  void SampleServing(const ServerFilter& filter,
                     base::Instant now,
                     base::Random& random,
                     BestCandidate& best) const;
  // Returns the first admitted server after a random position, or null.
  const Entry* FindAny(const Indexes& from,
                       const ServerFilter& filter,
                       base::Random& random) const;
  // Whether the server is in the local data centre, and neither loaded nor
  // slow, so that preferring it saves traffic between data centres at no cost
  // to the request.
  bool IsLocalWithCapacity(const Entry& server, base::Instant now) const;
  void Consider(const Entry& server,
                const ServerFilter& filter,
                base::Instant now,
                BestCandidate& best) const;
  void AddToIndexes(uint32_t position);
  // Returns how many requests the server may run concurrently; fewer than its
  // slots while its request rate is limited.
  int EffectiveSlots(const ServerCandidate& candidate) const;

  Locality own_locality_;
  std::vector<Entry> servers_;
  absl::flat_hash_map<base::NodeId, uint32_t> positions_;
  Indexes serving_;
  Indexes local_;  // Serving servers in the local data centre.
  absl::flat_hash_map<std::string, Indexes> serving_in_;  // By region.
  Indexes suspected_;
  ServiceEstimate service_;
};

}  // namespace chestnutport::routing

#endif  // ROUTING_SERVER_CHOOSER_H_
