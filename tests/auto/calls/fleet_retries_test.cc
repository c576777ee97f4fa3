// The bound on second attempts of a whole fleet, kept by each node alone.
#include "calls/fleet_retry_limit.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "calls/retry_budget.h"

namespace chestnutport::calls {
namespace {

constexpr FleetRetryLimit kLimit{0.2, 64};

// Second attempts of `nodes` nodes that take every one they are allowed, in a
// window in which each gets `requests`.
int MostOf(size_t nodes, size_t seen, int requests) {
  const NodeRetryLimit part = PerNodeRetryLimit(kLimit, seen);
  int taken = 0;
  for (size_t i = 0; i < nodes; ++i) {
    RetryBudget budget(part.share, part.burst);
    for (int j = 0; j < requests; ++j) {
      budget.OnCall();
      while (budget.TryTake())
        ++taken;
    }
  }
  return taken;
}

TEST_CASE("all nodes together keep the bound") {
  const size_t nodes = GENERATE(1, 3, 12, 60);
  const int requests = GENERATE(0, 10, 500);
  const double bound =
      kLimit.share * static_cast<double>(nodes) * requests + kLimit.burst;
  CHECK(MostOf(nodes, nodes, requests) <= bound);
}

TEST_CASE("a fleet that grew by half before anybody heard keeps it too") {
  CHECK(MostOf(18, 12, 100) <= kLimit.share * 18 * 100 + kLimit.burst);
}

// Arrivals beyond the first at a service that another one calls, while both
// spend all they may: each second run of the calling service makes its calls
// once more.
double MostAtCalled(size_t nodes, int requests, double calls_a_run) {
  const auto called = static_cast<int>(requests * calls_a_run);
  return MostOf(nodes, nodes, called) +
         MostOf(nodes, nodes, requests) * calls_a_run;
}

TEST_CASE("calls of runs that are second attempts stay within the bound") {
  const size_t nodes = GENERATE(1, 3, 12, 60);
  const int requests = GENERATE(10, 70, 500);
  const double calls_a_run = GENERATE(1.0, 1.4);
  const double called = static_cast<double>(nodes) * requests * calls_a_run;
  CHECK(MostAtCalled(nodes, requests, calls_a_run) <=
        kLimit.share * called + kLimit.burst);
}

TEST_CASE("a node that starts again has saved up nothing") {
  const NodeRetryLimit part = PerNodeRetryLimit(kLimit, 3);
  RetryBudget budget = RetryBudget::Empty(part.share, part.burst);
  CHECK_FALSE(budget.TryTake());
}

TEST_CASE("in a large fleet a node can save up one at least") {
  const NodeRetryLimit part = PerNodeRetryLimit(kLimit, 3000);
  RetryBudget budget = RetryBudget::Empty(part.share, part.burst);
  const int requests = static_cast<int>(std::ceil(1 / part.share));
  for (int i = 0; i < requests; ++i)
    budget.OnCall();
  CHECK(budget.TryTake());
}

}  // namespace
}  // namespace chestnutport::calls
