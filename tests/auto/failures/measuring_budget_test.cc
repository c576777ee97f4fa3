// Guarantee: health probes never exceed their time budget, also under load
// peaks and repeated restarts of a server.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/http_caller.h"
#include "support/small_fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

// Default probe budget of a declaration, as a share of the server's time.
constexpr double kBudget = 0.005;
constexpr std::chrono::milliseconds kProbeCost(6);
// Probes to wait for before the probe rate is compared with the budget.
constexpr int kMinProbes = 3;

int ProbeCount(const Fleet& fleet, const Vm& vm) {
  return fleet.CommandServer(vm, "{}").value("probes", 0);
}

// Returns whether the server's probe time since its start is within the budget
// accrued so far. One probe is not counted, as it may be in flight.
bool KeepsBudget(const Fleet& fleet,
                 const Vm& vm,
                 std::chrono::steady_clock::time_point server_start) {
  const int probes = ProbeCount(fleet, vm);
  const auto allowed =
      kBudget * (std::chrono::steady_clock::now() - server_start);
  return (probes - 1) * kProbeCost <= allowed;
}

// Waits for kMinProbes further probes. An idle server is probed every few
// seconds.
bool WaitForProbes(const Fleet& fleet, const Vm& vm) {
  const int before = ProbeCount(fleet, vm);
  return WaitUntil([&] { return ProbeCount(fleet, vm) >= before + kMinProbes; },
                   std::chrono::minutes(1));
}

TEST_CASE("measuring keeps its budget") {
  auto start = std::chrono::steady_clock::now();
  SmallFleet small;
  Fleet& fleet = small.fleet;

  SECTION("at rest") {
    REQUIRE(std::ranges::all_of(fleet.vms(), [&](const auto& vm) {
      return WaitForProbes(fleet, *vm);
    }));
  }
  SECTION("in a rush of callers") {
    small.calls = 3000;
    small.RunWithFault({.callers = 200}, [] {});
  }
  SECTION("when a server fails every request") {
    fleet.CommandServer(small.b, R"({"fail": true})");
    small.RunWithFault({}, [] {});
  }
  SECTION("when a health check says ill of a server that serves well") {
    fleet.CommandServer(small.b, R"({"health": "ill"})");
    REQUIRE(WaitForProbes(fleet, small.b));
    CHECK(KeepsBudget(fleet, small.b, start));
    const Audit audit = small.RunWithFault({}, [] {});
    CHECK(audit.answered + audit.not_run == audit.calls);
  }
  SECTION("when a health check is never answered by one that serves well") {
    fleet.CommandServer(small.b, R"({"health": "silent"})");
    REQUIRE(WaitForProbes(fleet, small.b));
    CHECK(KeepsBudget(fleet, small.b, start));
    const Audit audit = small.RunWithFault({}, [] {});
    CHECK(audit.answered + audit.not_run == audit.calls);
  }
  SECTION("when a server is silent to its node") {
    small.RunWithFault({},
                       [&] { small.b.server_relay->SilenceOpenConnections(); });
  }
  SECTION("in a storm of restarts") {
    small.RunWithFault({}, [&] {
      for (int i = 0; i < 10; ++i) {
        start = std::chrono::steady_clock::now();
        fleet.StartServer(small.b);
      }
    });
    CHECK(KeepsBudget(fleet, small.b, start));
    return;
  }
  for (const auto& vm : fleet.vms())
    CHECK(KeepsBudget(fleet, *vm, start));

  SECTION("and one who asks without a budget is seen") {
    for (int i = 0; i < 200; ++i)
      SendAndWait(small.a.server_address,
                  {.method = "GET", .target = "/health"});
    CHECK_FALSE(KeepsBudget(fleet, small.a, start));
  }
}

}  // namespace
}  // namespace chestnutport::test
