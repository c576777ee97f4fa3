// Demonstrates the main workflow on test doubles: starts four VMs in two data
// centres with two services, plans and confirms a configuration, sends requests
// through each node, and performs a rolling upgrade of every server under load.
// Exits non-zero at the first failed step. scripts/demo runs it with the folder
// of the declarations.
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "support/audit.h"
#include "support/fleet.h"
#include "support/load.h"

namespace {

using chestnutport::test::Audit;
using chestnutport::test::Fleet;
using chestnutport::test::Load;
using chestnutport::test::Process;
using chestnutport::test::Vm;
using nlohmann::json;

constexpr size_t kServers = 4;
constexpr size_t kCallsBetweenUpgrades = 300;
constexpr std::chrono::seconds kCommandLimit(20);

void PrintLine(const std::string& line) {
  std::cout << line << std::endl;
}

void Require(bool holds, const std::string& what) {
  if (!holds)
    throw std::runtime_error(what);
}

// Runs the operators' command line tool and returns its output. Throws if it
// fails.
std::string RunCommand(const Vm& vm, std::vector<std::string> words) {
  PrintLine("  $ chestnutport " + words[0] + (words.size() > 1 ? " ..." : ""));
  words.insert(words.begin(), "--node=" + vm.operator_address.ToString());
  Process command("chestnutport", words);
  const auto status = command.WaitForExit(kCommandLimit);
  Require(status == 0, "the command failed: " + command.Output());
  return command.Output();
}

void StartFleet(Fleet& fleet) {
  fleet.AddVm("poa-a-1", "poa-a", "dossie");
  fleet.AddVm("poa-a-2", "poa-a", "laudo");
  fleet.AddVm("poa-b-1", "poa-b", "dossie");
  fleet.AddVm("poa-b-2", "poa-b", "laudo");
  PrintLine("1. Four VMs in two data centres, each a node and a server:");
  for (const auto& vm : fleet.vms()) {
    PrintLine(absl::StrCat("  ", vm->name, " callers at ",
                           vm->caller_address.ToString(), ", server of ",
                           vm->service));
  }
}

uint64_t PlanAndConfirm(const Fleet& fleet, const std::string& declarations) {
  PrintLine("2. An operator plans, reads the plan and confirms it:");
  const Vm& vm = *fleet.vms().front();
  RunCommand(vm, {"check", declarations});
  const json plan =
      json::parse(RunCommand(vm, {"plan", declarations, "--output=json"}));
  PrintLine(absl::StrCat("  plan ", plan["plan"].get<std::string>(),
                         " on revision ", plan["base_revision"].get<uint64_t>(),
                         " with ", plan["changes"].size(), " changes"));
  const std::string confirmed =
      RunCommand(vm, {"confirm", plan["plan"].get<std::string>(), declarations,
                      "--output=json"});
  const auto revision = json::parse(confirmed).value("revision", uint64_t{0});
  Require(fleet.WaitAllReady(kServers, revision),
          "the configuration did not reach every node");
  PrintLine(absl::StrCat("  revision ", revision, " is in force on all nodes"));
  return revision;
}

void CallEachNode(const Fleet& fleet) {
  PrintLine("3. Requests through each node:");
  for (const auto& vm : fleet.vms()) {
    for (const std::string service : {"dossie", "laudo"}) {
      const std::string id = absl::StrCat("first-", vm->name, "-", service);
      const auto answer =
          fleet.Call(*vm, "GET", absl::StrCat("/", service, "/1"), id);
      const std::string server(
          chestnutport::net::FindHeader(answer.headers, "X-Server"));
      Require(answer.status == 200, id + " was not answered");
      PrintLine(absl::StrCat("  GET /", service, "/1 through ", vm->name,
                             " answered by ", server));
    }
  }
}

void ReplaceAll(Fleet& fleet,
                uint64_t revision,
                const std::vector<Load*>& loads) {
  for (const auto& vm : fleet.vms()) {
    Require(fleet.Replace(*vm, loads), vm->name + " was not replaced");
    Require(fleet.WaitAllReady(kServers, revision),
            vm->name + " did not come back everywhere");
    for (Load* load : loads)
      Require(load->WaitForMore(kCallsBetweenUpgrades), "traffic stands still");
    PrintLine(
        absl::StrCat("  ", vm->name,
                     ": drained, emptied, stopped, started anew, announced"));
  }
}

void RequireNoViolations(const std::string& service, const Audit& audit) {
  PrintLine(absl::StrCat("  ", service, ": ", audit.ToString()));
  Require(audit.violations() == 0, "a promise was broken");
  Require(audit.cut() == 0, "requests were cut");
  Require(audit.answered > 0, "nothing was answered");
}

void UpgradeUnderTraffic(Fleet& fleet, uint64_t revision) {
  PrintLine("4. A rolling upgrade of every server, under traffic:");
  Load dossie({.prefix = "dossie", .path = "/dossie/", .callers = 8},
              fleet.CallerAddresses());
  Load laudo({.prefix = "laudo", .path = "/laudo/", .callers = 8},
             fleet.CallerAddresses());
  ReplaceAll(fleet, revision, {&dossie, &laudo});
  const auto dossie_records = dossie.Stop();
  const auto laudo_records = laudo.Stop();
  PrintLine(
      "5. What callers were told, compared with what servers wrote down:");
  RequireNoViolations("dossie", Audit::Make(dossie_records, fleet.Ledger()));
  RequireNoViolations("laudo", Audit::Make(laudo_records, fleet.Ledger()));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: demo DECLARATIONS_FOLDER\n";
    return 2;
  }
  setenv("CHESTNUTPORT_TOKEN", chestnutport::test::kOperatorToken, 1);
  try {
    Fleet fleet;
    StartFleet(fleet);
    const uint64_t revision = PlanAndConfirm(fleet, argv[1]);
    CallEachNode(fleet);
    UpgradeUnderTraffic(fleet, revision);
  } catch (const std::exception& error) {
    std::cout << "FAILED: " << error.what() << std::endl;
    return 1;
  }
  PrintLine("All steps done: 0 requests cut, 0 run twice.");
  return 0;
}
