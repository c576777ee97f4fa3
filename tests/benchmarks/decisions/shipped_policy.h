// The shipped chooser as a policy of the benchmark.
#ifndef DECISIONS_SHIPPED_POLICY_H_
#define DECISIONS_SHIPPED_POLICY_H_

#include "decisions/choosing_policy.h"
#include "routing/server_chooser.h"

namespace chestnutport::bench {

class ShippedPolicy : public routing::ServerChooser {
 public:
  static constexpr std::string_view kName = "shipped";
  explicit ShippedPolicy(const PolicyContext& context)
      : routing::ServerChooser(context.locality) {}

  // Chooses a server for a caller's request, as opposed to a nested call.
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
