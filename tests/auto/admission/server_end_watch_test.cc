// Which requests a server was running when it ended.
#include "admission/server_crash_detector.h"

#include <catch2/catch.hpp>

namespace chestnutport::admission {
namespace {

using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

// Of a request with this fingerprint that ran for 90 ms until it was broken off
// at `at`.
InterruptedRequest Broken(uint64_t fingerprint, Instant at) {
  return {.fingerprint = {fingerprint},
          .life = 1,
          .instance = "i-1",
          .started_at = at - milliseconds(90),
          .interrupted_at = at};
}

TEST_CASE("a server breaks off what it runs") {
  ServerCrashDetector watch;
  watch.OnInterrupted(Broken(1, kStart));
  CHECK(watch.IsCrashSuspected());
  CHECK_FALSE(watch.TakeCrash(kStart + seconds(1)));

  SECTION("and nobody listens at its address after that: it has ended") {
    watch.OnConnectionRefused(kStart + milliseconds(1));
    CHECK_FALSE(watch.IsCrashSuspected());
    SECTION("with all that is found broken a moment later") {
      watch.OnInterrupted(Broken(2, kStart + milliseconds(2)));
      CHECK_FALSE(watch.TakeCrash(kStart + milliseconds(3)));
      const auto ran = watch.TakeCrash(kStart + milliseconds(6));
      REQUIRE(ran);
      REQUIRE(ran->size() == 2);
      CHECK(ran->front().fingerprint.value == 1);
      CHECK(ran->back().fingerprint.value == 2);
      CHECK(ran->front().instance == "i-1");
    }
    SECTION("once, however often it is looked for") {
      watch.OnConnectionRefused(kStart + milliseconds(4));
      CHECK(watch.TakeCrash(kStart + milliseconds(6)));
      watch.OnConnectionRefused(kStart + milliseconds(20));
      CHECK_FALSE(watch.TakeCrash(kStart + seconds(1)));
    }
  }

  SECTION("and another start takes its place: it has ended") {
    watch.OnServerRestarted(kStart + seconds(2));
    CHECK(watch.TakeCrash(kStart + seconds(2) +
                          ServerCrashDetector::kCollectionTime));
  }

  SECTION("but answers what was begun after that: it is well") {
    watch.OnAnswer(kStart + milliseconds(1));
    CHECK_FALSE(watch.IsCrashSuspected());
    watch.OnConnectionRefused(kStart + milliseconds(50));
    CHECK_FALSE(watch.TakeCrash(kStart + seconds(1)));
  }

  SECTION("an answer to what was begun before says nothing") {
    watch.OnAnswer(kStart - milliseconds(1));
    CHECK(watch.IsCrashSuspected());
  }

  SECTION("and ends much later: of something else") {
    watch.OnConnectionRefused(kStart + ServerCrashDetector::kRetention +
                              milliseconds(1));
    CHECK_FALSE(watch.TakeCrash(kStart + seconds(60)));
  }
}

TEST_CASE("a server that ends with nothing to do has run nothing") {
  ServerCrashDetector watch;
  watch.OnConnectionRefused(kStart);
  CHECK_FALSE(watch.TakeCrash(kStart + seconds(1)));
  watch.OnServerRestarted(kStart + seconds(2));
  CHECK_FALSE(watch.TakeCrash(kStart + seconds(3)));
}

TEST_CASE("a server that breaks off everything takes no more room") {
  ServerCrashDetector watch;
  for (size_t i = 0; i < 2 * ServerCrashDetector::kMaxInterrupted; ++i)
    watch.OnInterrupted(Broken(i, kStart));
  watch.OnConnectionRefused(kStart);
  const auto ran = watch.TakeCrash(kStart + seconds(1));
  REQUIRE(ran);
  CHECK(ran->size() == ServerCrashDetector::kMaxInterrupted);
}

}  // namespace
}  // namespace chestnutport::admission
