// The changes that confirming a set of declarations would make.
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

// A service that a plan changes, and the tenants affected.
struct AffectedService {
  std::string service;
  // Tenants whose requests are affected; empty if those of all tenants are.
  std::set<std::string> tenants;
};

struct Plan {
  // Derived from the base revision and the declarations, so that any node can
  // verify a plan and none has to store it.
  std::string id;
  uint64_t base_revision = 0;
  std::vector<Change> changes;
  std::vector<AffectedService> affected;
};

Plan MakePlan(const declarations::Configuration& base,
              const declarations::DeclarationTexts& wanted);

// Returns the identifier of the plan that changes revision `base_revision` to
// `wanted`: the revision, a hyphen, and a hash of both.
std::string PlanId(uint64_t base_revision,
                   const declarations::DeclarationTexts& wanted);

// Returns the base revision in a plan identifier; nothing if it is malformed.
std::optional<uint64_t> BaseRevision(std::string_view plan_id);

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_PLAN_H_
