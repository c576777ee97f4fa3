// Guarantee: a draining server gets no new requests after a few seconds.
#include <catch2/catch.hpp>
#include <csignal>

#include "support/http_caller.h"
#include "support/small_fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

const LoadOptions kMixed{.callers = 24};

TEST_CASE("a leaving server gets no new work") {
  SmallFleet small;
  Fleet& fleet = small.fleet;
  const auto is_leaving_everywhere = [&] {
    return WaitUntil([&] { return fleet.IsLeavingEverywhere(small.b); });
  };
  // Requests that the server started once `drain` had returned. Must be zero.
  size_t started_after_drain = 0;

  const auto drain_and_count = [&](const std::function<void()>& drain) {
    return small.RunWithFault(kMixed, [&] {
      drain();
      const size_t before = CountStarted(small.b.ledger);
      Load later_load({.prefix = "after", .callers = 24},
                      fleet.CallerAddresses());
      CHECK(later_load.WaitForMore(500));
      later_load.Stop();
      started_after_drain = CountStarted(small.b.ledger) - before;
    });
  };

  SECTION("when the operator drains it") {
    drain_and_count([&] {
      REQUIRE(fleet.Operate(small.b, "POST", "/v1/drain", "").status == 200);
      REQUIRE(is_leaving_everywhere());
    });
  }
  SECTION("when the server itself says so") {
    drain_and_count([&] {
      const auto response =
          SendAndWait(small.b.announcement_address,
                      {.method = "POST", .target = "/v1/server/drain"});
      REQUIRE(response.answer.status == 200);
      REQUIRE(is_leaving_everywhere());
    });
  }
  SECTION("when its node is told to stop") {
    drain_and_count([&] {
      small.b.node->Signal(SIGTERM);
      REQUIRE(is_leaving_everywhere());
    });
  }
  SECTION(
      "when it goes on saying so, and its node is killed and started anew") {
    drain_and_count([&] {
      fleet.CommandServer(small.b, R"({"draining": true})");
      REQUIRE(is_leaving_everywhere());
      fleet.StartNode(small.b);
      REQUIRE(WaitUntil([&] { return fleet.IsServerRegistered(small.b); }));
    });
  }
  SECTION("when the store is down, so that its own gate alone refuses") {
    drain_and_count([&] {
      fleet.CommandStore(R"({"mode": "down"})");
      REQUIRE(fleet.Operate(small.b, "POST", "/v1/drain", "").status == 200);
      REQUIRE(is_leaving_everywhere());
    });
  }
  SECTION("when another node was frozen meanwhile and sends it late work") {
    drain_and_count([&] {
      small.c.node->Signal(SIGSTOP);
      REQUIRE(fleet.Operate(small.b, "POST", "/v1/drain", "").status == 200);
      REQUIRE(WaitUntil([&] { return fleet.IsLeavingAt(small.a, small.b); }));
      small.c.node->Signal(SIGCONT);
    });
  }
  CHECK(started_after_drain == 0);
}

TEST_CASE("the count sees work on a server that does not leave") {
  SmallFleet small;
  const size_t before = CountStarted(small.b.ledger);
  small.RunWithFault(kMixed, [] {});
  CHECK(CountStarted(small.b.ledger) > before);
}

}  // namespace
}  // namespace chestnutport::test
