// What would change if an operator confirmed a set of declarations.
#ifndef CONFIGURATION_PLAN_H_
#define CONFIGURATION_PLAN_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/change.h"
#include "declarations/configuration.h"

namespace chestnutport::configuration {

// A service that a plan changes, and whom that concerns.
struct AffectedService {
  std::string service;
  // The tenants whose requests it concerns. Empty: all of the service's.
  std::set<std::string> tenants;
};

struct Plan {
  // Derived from the base revision and the declarations, so that any node can
  // check it and no node has to keep it.
  std::string id;
  uint64_t base_revision = 0;
  std::vector<Change> changes;
  std::vector<AffectedService> affected;
};

Plan MakePlan(const declarations::Configuration& base,
              const declarations::DeclarationTexts& wanted);

// The identity of the plan that turns revision `base_revision` into `wanted`:
// the revision, a hyphen, and a hash of both.
std::string PlanId(uint64_t base_revision,
                   const declarations::DeclarationTexts& wanted);

// The base revision that a plan's identity names; nothing if it is none.
std::optional<uint64_t> BaseRevision(std::string_view plan_id);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_PLAN_H_
