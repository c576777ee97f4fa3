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
    running.OnStarted("ab", {"urgency-2", "acme"});
    REQUIRE(running.FindParent("ab.1"));
    CHECK(running.FindParent("ab.1")->traffic_class == "urgency-2");
    CHECK(running.FindParent("ab.1")->tenant == "acme");
    CHECK_FALSE(running.FindParent("ac.1").has_value());
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

// A server may go on with a request that its node gave up. Without this, its
// nested calls would look like those of a caller without a key.
TEST_CASE("the nested calls of an abandoned request are recognised") {
  RunningRequests running;
  running.OnStarted("ab", {"urgency-2", "acme"});
  running.OnCallFailed("ab.1");
  CHECK(running.OnAbandoned("ab"));
  CHECK_FALSE(running.IsNested("ab.1"));
  REQUIRE(running.FindAbandoned("ab.1"));
  CHECK(running.FindAbandoned("ab.1")->tenant == "acme");
  CHECK_FALSE(running.FindAbandoned("ac.1"));
  CHECK_FALSE(running.OnAbandoned("ab"));

  SECTION("for a bounded number of abandoned requests") {
    for (int i = 0; i < 256; ++i) {
      running.OnStarted("other" + std::to_string(i));
      running.OnAbandoned("other" + std::to_string(i));
    }
    CHECK_FALSE(running.FindAbandoned("ab.1"));
    CHECK(running.FindAbandoned("other0.1"));
  }
}

TEST_CASE("a long name is neither kept nor searched to its end") {
  const std::string longest(256, 'a');
  const std::string separators(16'000, '.');
  RunningRequests running;
  running.OnStarted(longest);
  running.OnStarted(longest + "a");
  CHECK(running.IsNested(longest + separators));
  CHECK_FALSE(running.IsNested(longest + "a" + separators));
  for (int i = 0; i < 1000; ++i)
    CHECK_FALSE(running.IsNested("b" + separators));
}

TEST_CASE("a request without a name has no nested calls") {
  RunningRequests running;
  running.OnStarted("");
  CHECK_FALSE(running.IsNested(".1"));
  CHECK_FALSE(running.OnEnded(""));
}

}  // namespace
}  // namespace chestnutport::traffic
