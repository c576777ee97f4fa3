// When a gate considers its server degraded, and for how long.
#include "admission/server_performance.h"

#include <catch2/catch.hpp>

namespace chestnutport::admission {
namespace {

using std::chrono::milliseconds;

constexpr base::Instant kStart = base::Instant(std::chrono::hours(1));

TEST_CASE("a server is degraded while its VM is slow") {
  ServerPerformance performance;
  CHECK_FALSE(performance.IsDegraded(kStart));
  performance.OnSlowness(4, kStart);
  CHECK(performance.IsDegraded(kStart + milliseconds(100)));

  SECTION("until it reports otherwise") {
    performance.OnSlowness(1, kStart + milliseconds(50));
    CHECK_FALSE(performance.IsDegraded(kStart + milliseconds(50)));
  }
  SECTION("until the report expires") {
    CHECK_FALSE(performance.IsDegraded(kStart + milliseconds(200)));
    CHECK(performance.Slowness(kStart + milliseconds(200)) == 1);
  }
  SECTION("an expired report is not passed on") {
    CHECK(performance.KnownStrain(kStart + milliseconds(100)) == 4);
    CHECK_FALSE(performance.KnownStrain(kStart + milliseconds(200)));
  }
  SECTION("unless the other servers are as slow") {
    CHECK_FALSE(performance.IsDegraded(kStart, 4));
    performance.OnSlowness(8, kStart);
    CHECK(performance.IsDegraded(kStart, 4));
  }
  SECTION("a little slower than usual is not slow") {
    performance.OnSlowness(1.5, kStart);
    CHECK_FALSE(performance.IsDegraded(kStart));
  }
}

TEST_CASE("a server without a report has no known strain") {
  ServerPerformance performance;
  CHECK_FALSE(performance.KnownStrain(kStart));

  SECTION("until it has answered a request") {
    performance.OnResult(true, kStart);
    CHECK(performance.KnownStrain(kStart + std::chrono::hours(1)) == 1);
  }
}

TEST_CASE("a probe time-out counts as slowness") {
  ServerPerformance performance;
  performance.OnProbeTimeout(kStart);
  CHECK(performance.IsDegraded(kStart));
}

TEST_CASE("a server that fails its requests is degraded, whatever it reports") {
  ServerPerformance performance;
  performance.OnSlowness(1, kStart);
  performance.OnResult(false, kStart);
  CHECK_FALSE(performance.IsDegraded(kStart));  // One failure is normal.
  performance.OnResult(false, kStart);
  CHECK(performance.IsDegraded(kStart));

  SECTION("unless the other servers fail as many") {
    CHECK(performance.Strain(kStart) > 1.5);
    CHECK_FALSE(performance.IsDegraded(kStart, performance.Strain(kStart)));
  }
  SECTION("slowness adds to the failures") {
    performance.OnSlowness(2, kStart);
    CHECK(performance.IsDegraded(kStart, 1.5));
  }
  SECTION("it is tried again in a while") {
    CHECK_FALSE(performance.IsDegraded(kStart + milliseconds(1500)));
  }
  SECTION("successful answers clear it") {
    for (int i = 0; i < 5; ++i)
      performance.OnResult(true, kStart);
    CHECK_FALSE(performance.IsDegraded(kStart));
  }
  SECTION("a new incarnation resets it") {
    performance.Reset();
    CHECK_FALSE(performance.IsDegraded(kStart));
  }
}

TEST_CASE("a few failures in a hundred do not count") {
  ServerPerformance performance;
  for (int i = 0; i < 300; ++i) {
    const auto now = kStart + milliseconds(10) * i;
    performance.OnResult(i % 25 != 0, now);
    CHECK_FALSE(performance.IsDegraded(now));
  }
}

}  // namespace
}  // namespace chestnutport::admission
