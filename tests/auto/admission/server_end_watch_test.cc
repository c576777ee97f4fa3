// Guards against crashes that go unnoticed, and against requests blamed for a
// crash that they had no part in.
#include "admission/server_crash_detector.h"

#include <catch2/catch.hpp>

namespace chestnutport::admission {
namespace {

using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

// Returns a request with this fingerprint that ran for 90 ms and was
// interrupted at `at`.
InterruptedRequest MakeInterrupted(uint64_t fingerprint, Instant at) {
  return {.fingerprint = {fingerprint},
          .life = 1,
          .instance = "i-1",
          .started_at = at - milliseconds(90),
          .interrupted_at = at};
}

TEST_CASE("a server interrupts a request") {
  ServerCrashDetector detector;
  detector.OnInterrupted(MakeInterrupted(1, kStart));
  CHECK(detector.IsCrashSuspected());
  CHECK_FALSE(detector.TakeCrash(kStart + seconds(1)));

  SECTION("then its address refuses connections: it has crashed") {
    detector.OnConnectionRefused(kStart + milliseconds(1));
    CHECK_FALSE(detector.IsCrashSuspected());
    SECTION("with the requests found interrupted shortly after") {
      detector.OnInterrupted(MakeInterrupted(2, kStart + milliseconds(2)));
      CHECK_FALSE(detector.TakeCrash(kStart + milliseconds(3)));
      const auto ran = detector.TakeCrash(kStart + milliseconds(6));
      REQUIRE(ran);
      REQUIRE(ran->size() == 2);
      CHECK(ran->front().fingerprint.value == 1);
      CHECK(ran->back().fingerprint.value == 2);
      CHECK(ran->front().instance == "i-1");
    }
    SECTION("a crash is returned once") {
      detector.OnConnectionRefused(kStart + milliseconds(4));
      CHECK(detector.TakeCrash(kStart + milliseconds(6)));
      detector.OnConnectionRefused(kStart + milliseconds(20));
      CHECK_FALSE(detector.TakeCrash(kStart + seconds(1)));
    }
  }

  SECTION("then a new incarnation replaces it: it has crashed") {
    detector.OnServerRestarted(kStart + seconds(2));
    CHECK(detector.TakeCrash(kStart + seconds(2) +
                             ServerCrashDetector::kCollectionTime));
  }

  SECTION("then it answers a later request: it is healthy") {
    detector.OnAnswer(kStart + milliseconds(1));
    CHECK_FALSE(detector.IsCrashSuspected());
    detector.OnConnectionRefused(kStart + milliseconds(50));
    CHECK_FALSE(detector.TakeCrash(kStart + seconds(1)));
  }

  SECTION("an answer to an earlier request changes nothing") {
    detector.OnAnswer(kStart - milliseconds(1));
    CHECK(detector.IsCrashSuspected());
  }

  SECTION("and ends much later: for another reason") {
    detector.OnConnectionRefused(kStart + ServerCrashDetector::kRetention +
                                 milliseconds(1));
    CHECK_FALSE(detector.TakeCrash(kStart + seconds(60)));
  }
}

TEST_CASE("a server that ends without running requests is no crash") {
  ServerCrashDetector detector;
  detector.OnConnectionRefused(kStart);
  CHECK_FALSE(detector.TakeCrash(kStart + seconds(1)));
  detector.OnServerRestarted(kStart + seconds(2));
  CHECK_FALSE(detector.TakeCrash(kStart + seconds(3)));
}

TEST_CASE("memory is bounded if the server interrupts every request") {
  ServerCrashDetector detector;
  for (size_t i = 0; i < 2 * ServerCrashDetector::kMaxInterrupted; ++i)
    detector.OnInterrupted(MakeInterrupted(i, kStart));
  detector.OnConnectionRefused(kStart);
  const auto ran = detector.TakeCrash(kStart + seconds(1));
  REQUIRE(ran);
  CHECK(ran->size() == ServerCrashDetector::kMaxInterrupted);
}

}  // namespace
}  // namespace chestnutport::admission
