// Tests that nodes stay within the fleet-wide retry limit without coordination.
#include "calls/fleet_retry_limit.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "calls/retry_budget.h"

namespace chestnutport::calls {
namespace {

constexpr FleetRetryLimit kLimit{0.2, 64};

// Returns the retries that `nodes` nodes make if each uses its whole budget
// while it gets `requests` requests, and assumes a fleet of `seen` nodes.
int MaxRetries(size_t nodes, size_t seen, int requests) {
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

TEST_CASE("all nodes together keep the limit") {
  const size_t nodes = GENERATE(1, 3, 12, 60);
  const int requests = GENERATE(0, 10, 500);
  const double bound =
      kLimit.share * static_cast<double>(nodes) * requests + kLimit.burst;
  CHECK(MaxRetries(nodes, nodes, requests) <= bound);
}

TEST_CASE("a fleet that grew by half before its nodes learnt of it keeps it") {
  CHECK(MaxRetries(18, 12, 100) <= kLimit.share * 18 * 100 + kLimit.burst);
}

// Returns the attempts beyond the first that arrive at a service called by
// another one, while both use their whole budgets: each retry of the calling
// service repeats its calls.
double MaxRetriesAtCallee(size_t nodes, int requests, double calls_per_run) {
  const auto called = static_cast<int>(requests * calls_per_run);
  return MaxRetries(nodes, nodes, called) +
         MaxRetries(nodes, nodes, requests) * calls_per_run;
}

TEST_CASE("calls repeated by retries of the calling service keep the limit") {
  const size_t nodes = GENERATE(1, 3, 12, 60);
  const int requests = GENERATE(10, 70, 500);
  const double calls_per_run = GENERATE(1.0, 1.4);
  const double called = static_cast<double>(nodes) * requests * calls_per_run;
  CHECK(MaxRetriesAtCallee(nodes, requests, calls_per_run) <=
        kLimit.share * called + kLimit.burst);
}

TEST_CASE("a node that restarts begins with an empty budget") {
  const NodeRetryLimit part = PerNodeRetryLimit(kLimit, 3);
  RetryBudget budget = RetryBudget::Empty(part.share, part.burst);
  CHECK_FALSE(budget.TryTake());
}

TEST_CASE("in a large fleet a node can still save up one retry") {
  const NodeRetryLimit part = PerNodeRetryLimit(kLimit, 3000);
  RetryBudget budget = RetryBudget::Empty(part.share, part.burst);
  const int requests = static_cast<int>(std::ceil(1 / part.share));
  for (int i = 0; i < requests; ++i)
    budget.OnCall();
  CHECK(budget.TryTake());
}

}  // namespace
}  // namespace chestnutport::calls
