// The chooser that ships, as a policy of the benchmark.
#ifndef DECISIONS_SHIPPED_POLICY_H_
#define DECISIONS_SHIPPED_POLICY_H_

#include "decisions/choosing_policy.h"
#include "routing/server_chooser.h"

namespace chestnutport::bench {

class ShippedPolicy : public routing::ServerChooser {
 public:
  static constexpr std::string_view kName = "shipped";
  explicit ShippedPolicy(const PolicyPlace& place)
      : routing::ServerChooser(place.own) {}

  // For a caller's request, not a call that a server makes.
  const routing::ServerCandidate* ChooseForCaller(
      std::span<const base::NodeId> excluded,
      base::Instant now,
      base::Random& random) const {
    return ChooseAdmitted(
        {.excluded = excluded, .prefers_local_data_centre = true}, now, random);
  }
};

}  // namespace chestnutport::bench

#endif  // DECISIONS_SHIPPED_POLICY_H_
