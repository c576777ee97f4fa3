// Helpers for tests of a call in virtual time, with budgets of its own.
#ifndef CALLS_CALL_FIXTURE_H_
#define CALLS_CALL_FIXTURE_H_

#include "calls/call.h"

namespace chestnutport::test {

using std::chrono::milliseconds;

struct Budgets {
  calls::RetryBudget service{0.1, 5};
  calls::RetryBudget node{0.1, 5};
  calls::RetryBudget hedges{0.02, 5};
  calls::RetryBudget refusals{0.1, 5};
  calls::RetryBudget status_queries{0.1, 5};

  calls::CallBudgets All() {
    return {service, node, hedges, refusals, status_queries};
  }
};

inline constexpr base::Instant kStart = base::Instant(std::chrono::hours(1));

// Returns whether `steps` are exactly `expected`, in that order.
inline bool StepsAre(const calls::NextSteps& steps,
                     std::initializer_list<calls::Step> expected) {
  return std::ranges::equal(steps, expected, {}, &calls::NextStep::step);
}

inline calls::CallPolicy Repeatable() {
  calls::CallPolicy policy;
  policy.is_repeatable = true;
  return policy;
}

}  // namespace chestnutport::test

#endif  // CALLS_CALL_FIXTURE_H_
