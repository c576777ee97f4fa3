// When a node takes itself for cut off from all others.
#include "configuration/isolation_detector.h"

#include <catch2/catch.hpp>

namespace chestnutport::configuration {
namespace {

using std::chrono::milliseconds;

constexpr auto kInterval = IsolationDetector::kCheckInterval;

TEST_CASE("a node takes itself for cut off") {
  const base::Instant start(std::chrono::hours(1));
  IsolationDetector contact;
  base::Instant now = start;

  SECTION("never before it heard of another: it reads the store anyway") {
    for (int i = 0; i < 20; ++i)
      contact.Check(std::nullopt, now += kInterval);
    CHECK_FALSE(contact.is_isolated());
  }
  SECTION("within a second once all others are silent") {
    while (!contact.is_isolated())
      contact.Check(start, now += kInterval);
    CHECK(now - start <= std::chrono::seconds(1));
    SECTION("until it hears of one") {
      contact.Check(now, now);
      CHECK_FALSE(contact.is_isolated());
    }
  }
  SECTION("not while it hears something between two checks") {
    for (int i = 0; i < 20; ++i) {
      const base::Instant heard_at = now;
      contact.Check(heard_at, now += kInterval);
    }
    CHECK_FALSE(contact.is_isolated());
  }
  SECTION("not as it goes on after it was stopped, if others are there") {
    contact.Check(start, now += milliseconds(1));
    contact.Check(start, now += std::chrono::seconds(5));
    CHECK_FALSE(contact.is_isolated());
    contact.Check(now + milliseconds(1), now + kInterval);
    CHECK_FALSE(contact.is_isolated());
  }
}

}  // namespace
}  // namespace chestnutport::configuration
