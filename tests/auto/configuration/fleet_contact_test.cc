// When a node is detected to be isolated from all others.
#include "configuration/isolation_detector.h"

#include <catch2/catch.hpp>

namespace chestnutport::configuration {
namespace {

using std::chrono::milliseconds;

constexpr auto kInterval = IsolationDetector::kCheckInterval;

TEST_CASE("a node considers itself isolated") {
  const base::Instant start(std::chrono::hours(1));
  IsolationDetector detector;
  base::Instant now = start;

  SECTION("never before the first contact, as it reads the store anyway") {
    for (int i = 0; i < 20; ++i)
      detector.Check(std::nullopt, now += kInterval);
    CHECK_FALSE(detector.is_isolated());
  }
  SECTION("within a second after the last contact") {
    while (!detector.is_isolated())
      detector.Check(start, now += kInterval);
    CHECK(now - start <= std::chrono::seconds(1));
    SECTION("until the next contact") {
      detector.Check(now, now);
      CHECK_FALSE(detector.is_isolated());
    }
  }
  SECTION("not while there is contact between two checks") {
    for (int i = 0; i < 20; ++i) {
      const base::Instant last_contact = now;
      detector.Check(last_contact, now += kInterval);
    }
    CHECK_FALSE(detector.is_isolated());
  }
  SECTION("not when it resumes after a pause, if others are reachable") {
    detector.Check(start, now += milliseconds(1));
    detector.Check(start, now += std::chrono::seconds(5));
    CHECK_FALSE(detector.is_isolated());
    detector.Check(now + milliseconds(1), now + kInterval);
    CHECK_FALSE(detector.is_isolated());
  }
}

}  // namespace
}  // namespace chestnutport::configuration
