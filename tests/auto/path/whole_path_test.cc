// The path of a request from end to end: caller, nodes and servers as separate
// processes.
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "support/fleet.h"

namespace chestnutport::test {
namespace {

using net::FindHeader;

constexpr char kDossie[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n"
    "[requests]\nrepeatable = GET /dossie/\n";

TEST_CASE("a request is served from end to end") {
  Fleet fleet;
  Vm& a = fleet.AddVm("a", "poa-a", "dossie");
  Vm& b = fleet.AddVm("b", "poa-b", "dossie");

  SECTION("before any configuration the caller is told when to come back") {
    const auto answer = fleet.Call(a, "GET", "/dossie/1", "early");
    CHECK(answer.status == 503);
    CHECK(FindHeader(answer.headers, "Chestnutport-Outcome") == "not-run");
    CHECK(FindHeader(answer.headers, "Chestnutport-Error") ==
          "configuration-missing");
    CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
  }

  SECTION("an operator plans and confirms a declaration") {
    const uint64_t revision = fleet.Confirm(a, {{"dossie", kDossie}});
    REQUIRE(revision == 1);
    REQUIRE(fleet.WaitReady(a, 2, revision));
    REQUIRE(fleet.WaitReady(b, 2, revision));

    SECTION("either node answers with the right server's answer") {
      for (const Vm* vm : {&a, &b}) {
        for (int i = 0; i < 20; ++i) {
          const std::string id = vm->name + std::to_string(i);
          const auto answer = fleet.Call(*vm, "GET", "/dossie/1", id);
          REQUIRE(answer.status == 200);
          REQUIRE(FindHeader(answer.headers, "X-Request-Id") == id);
          REQUIRE(FindHeader(answer.headers, "Chestnutport-Outcome") ==
                  "answered");
        }
      }
      for (const auto& [id, times] : fleet.Executions())
        CHECK(times == 1);
    }

    SECTION("a path that nobody declared is not run") {
      const auto answer = fleet.Call(a, "GET", "/other", "x");
      CHECK(answer.status == 404);
      CHECK(FindHeader(answer.headers, "Chestnutport-Outcome") == "not-run");
    }

    SECTION("a node that is stopped cuts no request in flight") {
      std::vector<net::HttpAnswer> answers(8);
      std::vector<std::thread> callers;
      for (size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&, i] {
          answers[i] = fleet.Call(a, "POST", "/dossie/1?ms=800",
                                  "slow" + std::to_string(i));
        });
      }
      REQUIRE(fleet.Operate(b, "POST", "/v1/drain", "").status == 200);
      b.node->Signal(SIGTERM);
      CHECK(b.node->WaitForExit(std::chrono::seconds(30)) == 0);
      for (std::thread& caller : callers)
        caller.join();
      for (const auto& answer : answers)
        CHECK(answer.status == 200);
      CHECK(fleet.WaitReady(a, 1, revision));
      CHECK(fleet.Call(a, "GET", "/dossie/1", "after").status == 200);
    }
  }
}

}  // namespace
}  // namespace chestnutport::test
