// Guards against requests that fail or are cut off when a node is shut down by
// SIGTERM.
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "support/fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

constexpr char kDossie[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n";
constexpr size_t kCallers = 6;
constexpr size_t kLargeBody = 512 * 1024;

TEST_CASE("a node is shut down with requests in flight") {
  Fleet fleet;
  Vm& a = fleet.AddVm("a", "poa-a", "dossie");
  Vm& b = fleet.AddVm("b", "poa-b", "");
  const uint64_t revision = fleet.Confirm(a, {{"dossie", kDossie}});
  REQUIRE(fleet.WaitReady(b, 1, revision));

  const auto readiness = [&] {
    return fleet.Operate(b, "GET", "/v1/ready", "").status;
  };

  SECTION("readiness fails before the node closes its listeners") {
    REQUIRE(readiness() == 200);
    std::thread caller(
        [&] { fleet.Call(b, "POST", "/dossie/1?ms=4000", "slow"); });
    CHECK(WaitUntil([&] { return fleet.Executions().size() == 1; }));
    b.node->Signal(SIGTERM);
    CHECK(WaitUntil([&] { return readiness() == 503; }));
    caller.join();
  }

  SECTION("requests in flight are answered completely") {
    std::vector<net::HttpAnswer> answers(kCallers);
    std::vector<std::thread> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        // Longer than the node's leave notice.
        answers[i] = fleet.Call(b, "POST", "/dossie/1?ms=4000",
                                "slow" + std::to_string(i));
      });
    }
    const bool all_run =
        WaitUntil([&] { return fleet.Executions().size() == kCallers; });
    b.node->Signal(SIGTERM);
    const auto status = b.node->WaitForExit(std::chrono::seconds(30));
    for (std::thread& caller : callers)
      caller.join();
    REQUIRE(all_run);
    CHECK(status == 0);
    for (const auto& answer : answers)
      CHECK(answer.status == 200);
  }

  SECTION("a large response is sent completely before the node exits") {
    net::HttpAnswer answer;
    std::thread caller([&] {
      answer = fleet.Call(
          b, "POST", "/dossie/1?ms=2500&bytes=" + std::to_string(kLargeBody),
          "large");
    });
    const bool runs =
        WaitUntil([&] { return fleet.Executions().contains("large"); });
    b.node->Signal(SIGTERM);
    b.node->WaitForExit(std::chrono::seconds(30));
    caller.join();
    REQUIRE(runs);
    CHECK(answer.status == 200);
    CHECK(answer.body.size() > kLargeBody);
  }
}

TEST_CASE("the server of a stopping node keeps serving other nodes") {
  Fleet fleet(std::chrono::seconds(8));
  Vm& a = fleet.AddVm("a", "poa-a", "dossie");
  Vm& b = fleet.AddVm("b", "poa-b", "");
  const uint64_t revision = fleet.Confirm(a, {{"dossie", kDossie}});
  REQUIRE(fleet.WaitReady(b, 1, revision));
  a.node->Signal(SIGTERM);
  REQUIRE(WaitUntil(
      [&] { return fleet.Operate(a, "GET", "/v1/ready", "").status == 503; }));
  CHECK(fleet.Call(b, "POST", "/dossie/1?ms=10", "meanwhile").status == 200);

  SECTION("until shortly before the node exits") {
    CHECK(WaitUntil([&] {
      return fleet.Call(b, "POST", "/dossie/1?ms=10", "late").status == 503;
    }));
    CHECK(a.node->WaitForExit(std::chrono::seconds(30)) == 0);
  }
}

}  // namespace
}  // namespace chestnutport::test
