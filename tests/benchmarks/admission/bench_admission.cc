// Benchmarks the admission policies under load against simpler ones with the
// same seeds, and the cost of a decision.
#include <cstdio>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "admission/decision_cost.h"
#include "admission/gate_simulation.h"
#include "support/figure_report.h"

ABSL_FLAG(std::string, results, "", "File for the figures, as JSON.");

namespace chestnutport::bench {
namespace {

using base::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUnlimited = 1000000;

struct Policy {
  std::string name;
  bool adaptive;
  bool shares;
  int slots;
  bool is_limit_known = false;
};

const std::vector<Policy> kPolicies = {
    {"shipped", true, true, 12},
    {"fixed-limit", false, true, 12},
    {"fixed-limit-fifo", false, false, 12},
    {"no-limit", false, false, kUnlimited},
    {"told-the-slots", false, true, 12, true},
};

SimulationResult Run(const Policy& policy, const Scenario& scenario) {
  admission::AdmissionOptions options;
  options.slots = policy.slots;
  options.adaptive = policy.adaptive;
  options.shares.classes = {{"flood-watch", 1}, {"bulk", 2}};
  return GateSimulation(options, policy.shares, policy.is_limit_known, scenario)
      .Run();
}

Scenario Load(std::vector<Source> sources) {
  Scenario scenario;
  scenario.sources = std::move(sources);
  return scenario;
}

double Share(int part, int whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

// Reports one tenant's p99 while another tenant sends three times its usual
// load, relative to the p99 before.
void AddTenantOverload(FigureReport& report,
                       const Policy& policy,
                       bool has_bound) {
  const auto with = [](double other_load) {
    return Load(
        {{"quiet-firm", "bulk", 0.2}, {"rush-firm", "bulk", other_load}});
  };
  SourceStats before = Run(policy, with(0.4)).stats[0];
  SourceStats during = Run(policy, with(1.2)).stats[0];
  const std::string row = "admission/rush/" + policy.name;
  Figure ratio{row + "/quiet-firm-p99-ratio",
               during.Quantile(0.99) / before.Quantile(0.99), "x"};
  Figure refused{row + "/quiet-firm-refused",
                 Share(during.refused, during.arrived), "share"};
  if (has_bound) {
    ratio.at_most = 1.1;
    refused.at_most = 0.001;
  }
  report.Add(ratio);
  report.Add(refused);
}

void AddClasses(FigureReport& report, const Policy& policy, bool has_bound) {
  const auto with = [](double bulk) {
    return Load({{"keeper", "flood-watch", 0.1}, {"keeper", "bulk", bulk}});
  };
  SourceStats before = Run(policy, with(0.3)).stats[0];
  SimulationResult flood = Run(policy, with(2.0));
  SourceStats& during = flood.stats[0];
  const std::string row = "admission/bulk-refresh/" + policy.name;
  Figure ratio{row + "/flood-watch-p99-ratio",
               during.Quantile(0.99) / before.Quantile(0.99), "x"};
  Figure refused{row + "/flood-watch-refused",
                 Share(during.refused, during.arrived), "share"};
  if (has_bound) {
    ratio.at_most = 1.1;
    refused.at_most = 0.001;
  }
  report.Add(ratio);
  report.Add(refused);
  report.Add({row + "/goodput", flood.goodput, "of capacity"});
}

void AddOverload(FigureReport& report, const Policy& policy, bool has_bound) {
  const SimulationResult result =
      Run(policy, Load({{"firm", "bulk", 1.5, milliseconds(200)}}));
  Figure goodput{"admission/overload-1.5x/" + policy.name + "/goodput",
                 result.goodput, "of capacity"};
  if (has_bound)
    goodput.at_least = 0.95;
  report.Add(goodput);
  report.Add({"admission/overload-1.5x/" + policy.name + "/late",
              Share(result.stats[0].late, result.stats[0].arrived), "share"});
}

// A neighbour takes half of the slots for three of every six seconds.
Scenario NoisyNeighbour() {
  Scenario scenario = Load({{"keeper", "flood-watch", 0.1},
                            {"keeper", "bulk", 1.2, milliseconds(500)}});
  scenario.capacity = [](Duration since_start) {
    const auto phase = since_start % seconds(6);
    return Capacity{phase < seconds(3) ? 12 : 6, 1};
  };
  return scenario;
}

// All slots are three times slower for ten of every twenty seconds.
Scenario SlowerSlots() {
  Scenario scenario = Load({{"keeper", "flood-watch", 0.05},
                            {"keeper", "bulk", 1.2, milliseconds(500)}});
  scenario.capacity = [](Duration since_start) {
    const auto phase = since_start % seconds(20);
    return Capacity{12, phase < seconds(10) ? 1.0 : 3.0};
  };
  return scenario;
}

void AddCapacityChange(FigureReport& report,
                       const std::string& name,
                       const Scenario& scenario,
                       double capacity) {
  const double fixed = Run(kPolicies[1], scenario).goodput;
  for (const Policy& policy : kPolicies) {
    SimulationResult result = Run(policy, scenario);
    const std::string row = "admission/" + name + "/" + policy.name;
    report.Add(
        {row + "/flood-watch-p99", result.stats[0].Quantile(0.99), "ms"});
    report.Add({row + "/flood-watch-p90", result.stats[0].Quantile(0.9), "ms"});
    Figure goodput{row + "/goodput", result.goodput / capacity,
                   "of what is left"};
    if (&policy == &kPolicies[0])
      goodput.at_least = 0.95 * fixed / capacity;
    report.Add(goodput);
    report.Add({row + "/mean-limit", result.mean_limit, "requests"});
  }
}

// Requests per second; above the rate of the benchmark, so that it is checked
// and never reached.
constexpr double kHighRateLimit = 1e6;

void AddDecisionCost(const std::string& name,
                     const DecisionCost& cost,
                     FigureReport& report) {
  const std::string row = "admission/decision/" + name;
  report.Add({row + "/time", cost.nanoseconds, "ns"});
  report.Add({.name = row + "/allocations",
              .value = cost.allocations,
              .unit = "a request",
              .at_most = 2});
}

void AddDecisionCosts(FigureReport& report) {
  for (const int queued : {0, 24, 1000}) {
    AddDecisionCost("queue-" + std::to_string(queued),
                    MeasureDecisionCost(queued), report);
  }
  AddDecisionCost("rate-limit", MeasureDecisionCost(0, kHighRateLimit), report);
}

}  // namespace
}  // namespace chestnutport::bench

int main(int argc, char** argv) {
  using namespace chestnutport::bench;
  absl::ParseCommandLine(argc, argv);
  FigureReport report;
  for (const Policy& policy : kPolicies) {
    const bool has_bound = &policy == &kPolicies[0];
    AddTenantOverload(report, policy, has_bound);
    AddClasses(report, policy, has_bound);
    AddOverload(report, policy, has_bound);
  }
  AddCapacityChange(report, "neighbour", NoisyNeighbour(), 0.75);
  AddCapacityChange(report, "slower", SlowerSlots(), 2.0 / 3);
  AddDecisionCosts(report);
  report.Print();
  if (!absl::GetFlag(FLAGS_results).empty())
    report.WriteFile(absl::GetFlag(FLAGS_results));
  return report.AllHold() ? 0 : 1;
}
