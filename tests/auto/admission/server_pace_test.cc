// What a gate knows of its server's pace, and how fast it forgets.
#include "admission/server_performance.h"

#include <catch2/catch.hpp>

namespace chestnutport::admission {
namespace {

using std::chrono::milliseconds;

constexpr base::Instant kStart = base::Instant(std::chrono::hours(1));

TEST_CASE("a server is poor while its VM is slow") {
  ServerPerformance pace;
  CHECK_FALSE(pace.IsDegraded(kStart));
  pace.OnSlowness(4, kStart);
  CHECK(pace.IsDegraded(kStart + milliseconds(100)));

  SECTION("until it says otherwise") {
    pace.OnSlowness(1, kStart + milliseconds(50));
    CHECK_FALSE(pace.IsDegraded(kStart + milliseconds(50)));
  }
  SECTION("and no longer than its word is worth") {
    CHECK_FALSE(pace.IsDegraded(kStart + milliseconds(200)));
    CHECK(pace.Slowness(kStart + milliseconds(200)) == 1);
  }
  SECTION("and an old word is told to nobody, least of all as a good one") {
    CHECK(pace.KnownStrain(kStart + milliseconds(100)) == 4);
    CHECK_FALSE(pace.KnownStrain(kStart + milliseconds(200)));
  }
  SECTION("unless the others are as slow") {
    CHECK_FALSE(pace.IsDegraded(kStart, 4));
    pace.OnSlowness(8, kStart);
    CHECK(pace.IsDegraded(kStart, 4));
  }
  SECTION("a little slower than usual is not slow") {
    pace.OnSlowness(1.5, kStart);
    CHECK_FALSE(pace.IsDegraded(kStart));
  }
}

TEST_CASE("of a server that said nothing yet, nothing is told") {
  ServerPerformance pace;
  CHECK_FALSE(pace.KnownStrain(kStart));

  SECTION("until it has answered a request") {
    pace.OnResult(true, kStart);
    CHECK(pace.KnownStrain(kStart + std::chrono::hours(1)) == 1);
  }
}

TEST_CASE("a probe without an answer says that the server is slow") {
  ServerPerformance pace;
  pace.OnProbeTimeout(kStart);
  CHECK(pace.IsDegraded(kStart));
}

TEST_CASE(
    "a server that fails its requests is poor, though it says it is well") {
  ServerPerformance pace;
  pace.OnSlowness(1, kStart);
  pace.OnResult(false, kStart);
  CHECK_FALSE(pace.IsDegraded(kStart));  // One failure is nobody's fault.
  pace.OnResult(false, kStart);
  CHECK(pace.IsDegraded(kStart));

  SECTION("unless the others fail as many") {
    CHECK(pace.Strain(kStart) > 1.5);
    CHECK_FALSE(pace.IsDegraded(kStart, pace.Strain(kStart)));
  }
  SECTION("and slow besides, it is worse still") {
    pace.OnSlowness(2, kStart);
    CHECK(pace.IsDegraded(kStart, 1.5));
  }
  SECTION("it is tried again in a while") {
    CHECK_FALSE(pace.IsDegraded(kStart + milliseconds(1500)));
  }
  SECTION("good answers clear it") {
    for (int i = 0; i < 5; ++i)
      pace.OnResult(true, kStart);
    CHECK_FALSE(pace.IsDegraded(kStart));
  }
  SECTION("another start of it begins anew") {
    pace.Reset();
    CHECK_FALSE(pace.IsDegraded(kStart));
  }
}

TEST_CASE("a few failures in a hundred do not count") {
  ServerPerformance pace;
  for (int i = 0; i < 300; ++i) {
    const auto now = kStart + milliseconds(10) * i;
    pace.OnResult(i % 25 != 0, now);
    CHECK_FALSE(pace.IsDegraded(now));
  }
}

}  // namespace
}  // namespace chestnutport::admission
