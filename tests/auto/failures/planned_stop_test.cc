// Guarantee: a planned stop of a server interrupts no request in flight.
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "support/small_fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

// Requests long enough that some are in flight at every stop.
const LoadOptions kSlow{.callers = 24, .work = std::chrono::milliseconds(300)};

TEST_CASE("a planned stop cuts no request in flight") {
  SmallFleet small;
  Fleet& fleet = small.fleet;
  small.calls = 100;
  Load callers(kSlow, fleet.CallerAddresses());
  REQUIRE(callers.WaitForMore(small.calls));

  SECTION("when each VM is replaced, one after the other") {
    for (const auto& vm : fleet.vms()) {
      REQUIRE(fleet.Replace(*vm, {&callers}));
      REQUIRE(fleet.WaitAllReady(3, small.revision));
    }
  }
  SECTION("when the same VM is replaced twice") {
    for (int i = 0; i < 2; ++i) {
      REQUIRE(fleet.Replace(small.b, {&callers}));
      REQUIRE(fleet.WaitAllReady(3, small.revision));
    }
  }
  SECTION("when the store is slow") {
    fleet.CommandStore(R"({"delay_ms": 300})");
    REQUIRE(fleet.Replace(small.b, {&callers}));
    REQUIRE(fleet.WaitAllReady(3, small.revision));
  }
  SECTION("when the store is down") {
    fleet.CommandStore(R"({"mode": "down"})");
    REQUIRE(fleet.Replace(small.b, {&callers}));
    REQUIRE(callers.WaitForMore(small.calls));
    fleet.CommandStore(R"({"mode": "up"})");
    REQUIRE(fleet.WaitAllReady(3, small.revision));
  }
  SECTION("when its server straggles meanwhile") {
    fleet.CommandServer(small.b, R"({"straggle_ms": 1500})");
    REQUIRE(fleet.Replace(small.b, {&callers}));
  }
  SECTION("when the node gets a stop signal without a drain before it") {
    callers.SetNodes(fleet.CallerAddresses(&small.b));
    small.b.node->Signal(SIGTERM);
    REQUIRE(small.b.node->WaitForExit(std::chrono::seconds(40)) == 0);
  }
  REQUIRE(callers.WaitForMore(small.calls));
  const auto records = callers.Stop();
  const Audit audit = Audit::Make(records, fleet.Ledger());
  INFO(audit.ToString());
  CHECK(audit.answered > 0);
  CHECK(audit.cut() == 0);
  CHECK(audit.violations() == 0);
}

TEST_CASE("an upgrade of six VMs refuses no request that another could serve") {
  Fleet fleet;
  const std::vector<std::string> services = {"dossie", "laudo"};
  std::map<std::string, std::string> declarations;
  for (const std::string& service : services) {
    declarations[service] =
        absl::StrReplaceAll(kDossieDeclaration, {{"dossie", service}});
    for (const char* data_centre : {"poa-a", "poa-b", "poa-c"})
      fleet.AddVm(absl::StrCat(service, "-", data_centre), data_centre,
                  service);
  }
  const size_t servers = fleet.vms().size();
  const uint64_t revision = fleet.Confirm(*fleet.vms().front(), declarations);
  REQUIRE(fleet.WaitAllReady(servers, revision));
  Load dossie({.prefix = "d", .path = "/dossie/", .callers = 12},
              fleet.CallerAddresses());
  Load laudo({.prefix = "l", .path = "/laudo/", .callers = 12},
             fleet.CallerAddresses());

  for (const auto& vm : fleet.vms()) {
    REQUIRE(fleet.Replace(*vm, {&dossie, &laudo}));
    // Callers use the replaced VM at once. The next VM is replaced only after
    // every node has registered all servers again.
    REQUIRE(fleet.WaitAllReady(servers, revision));
  }
  for (Load* load : {&dossie, &laudo}) {
    const auto records = load->Stop();
    const Audit audit = Audit::Make(records, fleet.Ledger());
    INFO(audit.ToString());
    CHECK(audit.answered == audit.calls);
    CHECK(audit.violations() == 0);
  }
}

TEST_CASE("the audit sees a stop that was not planned") {
  SmallFleet small;
  small.calls = 100;
  const Audit audit = small.RunWithFault(kSlow, [&] {
    small.b.server.reset();
    small.c.node.reset();
  });
  CHECK(audit.cut() > 0);
}

}  // namespace
}  // namespace chestnutport::test
