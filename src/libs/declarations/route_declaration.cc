#include "declarations/route_declaration.h"

#include <random>

#include "absl/strings/str_cat.h"

namespace chestnutport::declarations {

const std::string& RouteDeclaration::PickService(base::Random& random) const {
  static const std::string none;
  if (targets.empty())
    return none;
  double sum = 0;
  for (const RouteTarget& target : targets)
    sum += target.weight;
  if (sum <= 0 || targets.size() == 1)
    return targets.front().service;
  double drawn = std::uniform_real_distribution<>(0, sum)(random);
  for (const RouteTarget& target : targets) {
    if (drawn < target.weight)
      return target.service;
    drawn -= target.weight;
  }
  return targets.back().service;
}

std::string UrgencyClass(int urgency) {
  return absl::StrCat("urgency-", urgency);
}

}  // namespace chestnutport::declarations
