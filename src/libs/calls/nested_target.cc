#include "calls/nested_target.h"

#include <algorithm>

namespace chestnutport::calls {
namespace {

constexpr int kRemainingDivisor = 2;

}  // namespace

base::Duration NestedTarget(base::Duration target, base::Duration remaining) {
  return std::max(target, remaining / kRemainingDivisor);
}

}  // namespace chestnutport::calls
