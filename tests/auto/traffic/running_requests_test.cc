// Which requests are calls that the own server makes for a running request.
#include "traffic/running_requests.h"

#include <catch2/catch.hpp>

namespace chestnutport::traffic {
namespace {

TEST_CASE("while a server runs a request") {
  RunningRequests running;
  running.OnStarted("2489dd5a");

  SECTION("a call named after it is nested") {
    CHECK(running.IsNested("2489dd5a.6aba"));
    CHECK(running.IsNested("2489dd5a-1"));
    CHECK(running.IsNested("2489dd5a.6aba.7"));
  }
  SECTION("and the class of its parent is known") {
    running.OnStarted("ab", "urgency-2");
    CHECK(running.ClassOfParent("ab.1") == "urgency-2");
    CHECK_FALSE(running.ClassOfParent("ac.1").has_value());
  }
  SECTION("other requests are not") {
    CHECK_FALSE(running.IsNested("2489dd5a"));
    CHECK_FALSE(running.IsNested("2489dd5a6aba"));
    CHECK_FALSE(running.IsNested("2489dd.6aba"));
    CHECK_FALSE(running.IsNested(".2489dd5a"));
    CHECK_FALSE(running.IsNested(""));
  }
  SECTION("its end reports whether a nested call failed") {
    SECTION("if one did") {
      running.OnCallFailed("2489dd5a.6aba");
      CHECK(running.OnEnded("2489dd5a"));
    }
    SECTION("if none did") {
      running.OnCallFailed("other.6aba");
      CHECK_FALSE(running.OnEnded("2489dd5a"));
    }
    CHECK_FALSE(running.IsNested("2489dd5a.6aba"));
    CHECK_FALSE(running.OnEnded("2489dd5a"));
  }
}

TEST_CASE("a request without a name has no nested calls") {
  RunningRequests running;
  running.OnStarted("");
  CHECK_FALSE(running.IsNested(".1"));
  CHECK_FALSE(running.OnEnded(""));
}

}  // namespace
}  // namespace chestnutport::traffic
