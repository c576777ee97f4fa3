// Measures the figures of docs/design/retries.md in virtual time, with a fixed
// seed.
#include <array>
#include <catch2/catch.hpp>
#include <iostream>

#include "base/random.h"
#include "call_fixture.h"
#include "calls/adaptive_timeouts.h"

namespace chestnutport::test {
namespace {

using calls::AttemptVerdict;
using calls::Step;

constexpr int kLevels = 24;

// A chain of services in which each request makes one call to the next service.
class Chain {
 public:
  Chain(double leaf_failures, bool one_level_retries)
      : leaf_failures_(leaf_failures), one_level_retries_(one_level_retries) {}

  // Returns the executions at the last level per request at the first.
  double Amplification(int requests) {
    for (int i = 0; i < requests; ++i)
      Run(0, false);
    return static_cast<double>(leaf_executions_) / requests;
  }

 private:
  bool Run(int level, bool is_retried_above) {
    calls::CallPolicy policy = Repeatable();
    policy.is_retried_above = is_retried_above && one_level_retries_;
    calls::Call call(policy, kStart, kStart + std::chrono::seconds(1),
                     budgets_[level].All());
    auto steps = call.Start(kStart);
    bool answered = false;
    while (!steps.empty() && steps[0].step == Step::kSend) {
      answered = Execute(level);
      steps = call.OnAttemptEnd(
          call.attempts() - 1,
          {answered ? AttemptVerdict::kAnswered : AttemptVerdict::kFailed},
          kStart);
    }
    return answered;
  }

  bool Execute(int level) {
    if (level + 1 < kLevels)
      return Run(level + 1, true);
    ++leaf_executions_;
    return std::uniform_real_distribution<>(0, 1)(random_) >= leaf_failures_;
  }

  double leaf_failures_;
  bool one_level_retries_;
  base::Random random_{11};
  std::array<Budgets, kLevels> budgets_;
  int leaf_executions_ = 0;
};

TEST_CASE("retries over 24 levels amplify by the budget of one level only") {
  const double failures = GENERATE(0.01, 0.1, 0.5, 1.0);
  const double shipped = Chain(failures, true).Amplification(20000);
  const double every_level = Chain(failures, false).Amplification(1000);
  std::cout << "leaf failures " << failures << ": one level retries " << shipped
            << ", every level " << every_level << "\n";
  CHECK(shipped <= 1.101);
  if (failures >= 0.1)
    CHECK(every_level > shipped);
}

TEST_CASE("the status query delay follows the p99 latency within bounds") {
  const int slow_ms = GENERATE(2, 10, 50, 200, 2000);
  calls::AdaptiveTimeouts timing;
  for (int i = 0; i < 1000; ++i)
    timing.OnAnswer(milliseconds(i % 50 == 0 ? slow_ms : 1), kStart);
  Budgets budgets;
  calls::CallPolicy policy;
  timing.Apply(0.02, policy);
  calls::Call call(policy, kStart, kStart + std::chrono::seconds(10),
                   budgets.All());
  call.Start(kStart);
  const auto query_delay =
      std::chrono::duration<double, std::milli>(call.next_timer() - kStart);
  std::cout << "p99 " << slow_ms << " ms: asked after " << query_delay.count()
            << " ms\n";
  CHECK(query_delay >= milliseconds(50));
  CHECK(query_delay <= milliseconds(1000));
  CHECK(query_delay.count() <= std::max(50.0, 4.4 * slow_ms));
}

}  // namespace
}  // namespace chestnutport::test
