// Checks rows of the decisions benchmark. With a fixed seed they are
// reproducible, so their bounds are exact.
#include <catch2/catch.hpp>

#include "decisions/baselines.h"
#include "decisions/shipped_policy.h"
#include "decisions/simulation.h"

namespace chestnutport::bench {
namespace {

constexpr uint64_t kSeed = 20261202;

struct Row {
  const char* name;
  ConditionKind kind;
  double max_p99_ratio;  // Relative to the omniscient chooser.
  double min_goodput;
};

constexpr Row kRows[] = {
    {"steady", ConditionKind::kSteady, 1.1, 0.999},
    {"one straggler", ConditionKind::kStraggler, 1.2, 0.999},
    {"one server fails at once", ConditionKind::kFastFailing, 1.2, 0.998},
    {"one report lies", ConditionKind::kFalseReport, 1.2, 0.999},
    {"a data centre is lost", ConditionKind::kDataCentreLoss, 1.2, 0.998},
};

TEST_CASE("The shipped chooser is nearly as good as an omniscient one") {
  for (const Row& row : kRows) {
    const Condition condition{row.name, row.kind};
    DYNAMIC_SECTION(row.name) {
      const auto shipped =
          Simulation<ShippedPolicy>(Consorcio(), condition, kSeed).Run();
      const auto omniscient =
          Simulation<OmniscientPolicy>(Consorcio(), condition, kSeed).Run();
      CHECK(shipped.wrong == 0);
      CHECK(shipped.Goodput() >= row.min_goodput);
      CHECK(shipped.Quantile(0.99) <=
            row.max_p99_ratio * omniscient.Quantile(0.99));
    }
  }
}

TEST_CASE("calls go elsewhere while one server states a rate limit") {
  for (uint64_t seed = kSeed; seed < kSeed + 4; ++seed) {
    const auto usual =
        Simulation<ShippedPolicy>(Consorcio(), {.name = "steady"}, seed).Run();
    const auto limited =
        Simulation<ShippedPolicy>(
            Consorcio(),
            {.name = "rate limit", .kind = ConditionKind::kRateLimit}, seed)
            .Run();
    CAPTURE(seed, usual.AttemptsPerCall(), limited.AttemptsPerCall(),
            usual.Quantile(0.99), limited.Quantile(0.99), limited.refused);
    CHECK(limited.wrong == 0);
    CHECK(limited.unknown == 0);
    CHECK(limited.Goodput() >= 0.999);
    CHECK(limited.Quantile(0.99) <= 1.2 * usual.Quantile(0.99));
    CHECK(limited.AttemptsPerCall() <= 1.1);
    CHECK(limited.refused_after_fault == 0);
  }
}

TEST_CASE("all servers state rate limits below what callers ask for") {
  for (uint64_t seed = kSeed; seed < kSeed + 4; ++seed) {
    const auto run =
        Simulation<ShippedPolicy>(
            Consorcio(),
            {.name = "rate limits", .kind = ConditionKind::kRateLimitOfAll},
            seed)
            .Run();
    CAPTURE(seed, run.calls, run.answered, run.refused, run.AttemptsPerCall(),
            run.Quantile(0.99), run.slowest_refusal);
    CHECK(run.wrong == 0);
    CHECK(run.unknown == 0);
    CHECK(run.refused > 0);
    CHECK(run.slowest_refusal < 500);
    CHECK(run.refused_after_fault == 0);
  }
}

// Each call holds a slot until its nested calls have answered, so servers that
// are preferred too strongly fill up with calls that wait for each other.
TEST_CASE("A chain of calls does not deadlock on its own slots") {
  constexpr uint64_t kSeeds = 9;
  const Condition chain{"chain-24", ConditionKind::kChain};
  double ratios = 0;
  for (uint64_t seed = kSeed; seed < kSeed + kSeeds; ++seed) {
    const auto shipped =
        Simulation<ShippedPolicy>(Kivisaar(), chain, seed).Run();
    const auto omniscient =
        Simulation<OmniscientPolicy>(Kivisaar(), chain, seed).Run();
    INFO(seed);
    CHECK(shipped.wrong == 0);
    CHECK(shipped.Goodput() >= 0.95);
    ratios += shipped.Quantile(0.99) / omniscient.Quantile(0.99);
  }
  CHECK(ratios / kSeeds <= 2.3);
}

TEST_CASE("A random chooser fails the bounds") {
  const Condition straggler{"straggler", ConditionKind::kStraggler};
  const auto random =
      Simulation<RandomPolicy>(Consorcio(), straggler, kSeed).Run();
  const auto omniscient =
      Simulation<OmniscientPolicy>(Consorcio(), straggler, kSeed).Run();
  CHECK(random.Quantile(0.99) > 1.2 * omniscient.Quantile(0.99));
}

TEST_CASE("A row is reproducible") {
  const Condition steady{"steady", ConditionKind::kSteady};
  const auto first =
      Simulation<ShippedPolicy>(Consorcio(), steady, kSeed).Run();
  const auto again =
      Simulation<ShippedPolicy>(Consorcio(), steady, kSeed).Run();
  CHECK(first.latencies == again.latencies);
}

}  // namespace
}  // namespace chestnutport::bench
