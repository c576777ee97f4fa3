#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "configuration/figures.h"
#include "support/fleet.h"
#include "support/wait.h"

namespace chestnutport::bench {
namespace {

using test::Fleet;
using test::Vm;

constexpr int kNodes = 12;
constexpr int kConfirmations = 10;

std::map<std::string, std::string> Declare(int slots) {
  return {{"dossie", absl::StrCat("[service]\nname = dossie\n[match]\n"
                                  "path_prefix = /dossie/\n[servers]\nslots = ",
                                  slots, "\n")}};
}

struct Times {
  double confirm = 0;    // From the request to its response, in seconds.
  double last_node = 0;  // From the response until the last node has it.
};

Times ConfirmOnce(Fleet& fleet, int slots) {
  const Vm& vm = *fleet.vms()[static_cast<size_t>(slots) % kNodes];
  const auto start = std::chrono::steady_clock::now();
  const uint64_t revision = fleet.Confirm(vm, Declare(slots));
  const auto confirmed = std::chrono::steady_clock::now();
  for (const auto& each : fleet.vms())
    fleet.WaitReady(*each, 0, revision);
  const auto everywhere = std::chrono::steady_clock::now();
  return {std::chrono::duration<double>(confirmed - start).count(),
          std::chrono::duration<double>(everywhere - confirmed).count()};
}

void Measure(FigureReport& report,
             Fleet& fleet,
             const std::string& name,
             int first) {
  std::vector<double> confirm;
  std::vector<double> last_node;
  for (int i = 0; i < kConfirmations; ++i) {
    const Times times = ConfirmOnce(fleet, first + i);
    confirm.push_back(times.confirm);
    last_node.push_back(times.last_node);
  }
  for (auto* times : {&confirm, &last_node}) {
    std::ranges::sort(*times);
    const std::string what = absl::StrCat(
        "configuration/12-nodes/", name,
        times == &confirm ? "/plan-and-confirm" : "/last-node-after");
    report.Add({.name = what + "/median",
                .value = (*times)[times->size() / 2],
                .unit = "s"});
    report.Add(
        {.name = what + "/longest", .value = times->back(), .unit = "s"});
  }
}

}  // namespace

void AddProcessFigures(FigureReport& report) {
  Fleet fleet;
  for (int i = 0; i < kNodes; ++i)
    fleet.AddVm(absl::StrCat("n", i), absl::StrCat("dc", i % 2), "");
  ConfirmOnce(fleet, 1);
  Measure(report, fleet, "no-fault", 100);
  fleet.CommandStore(R"({"delay_ms": 1000})");
  Measure(report, fleet, "store-slow-by-1s", 200);
}

}  // namespace chestnutport::bench
