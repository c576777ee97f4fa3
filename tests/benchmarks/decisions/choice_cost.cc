#include "decisions/choice_cost.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "routing/server_chooser.h"

namespace {

int64_t g_allocations = 0;

}  // namespace

void* operator new(size_t size) {
  ++g_allocations;
  if (void* memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace chestnutport::bench {
namespace {

constexpr int kChoices = 100000;
constexpr int kRounds = 5;
// Maximum ratio of costs within one run, with a margin for a busy machine. A
// linear scan would give a ratio near 200.
constexpr double kMaxCostRatio = 8;

struct Cost {
  double nanoseconds = 0;  // Of the fastest round.
  double allocations = 0;
};

std::vector<routing::ServerCandidate> Candidates(int count) {
  std::vector<routing::ServerCandidate> servers(count);
  for (int i = 0; i < count; ++i) {
    servers[i].node = base::NodeId{static_cast<uint64_t>(i) + 1};
    servers[i].data_centre = i % 3 == 0 ? "poa-a" : "poa-b";
    servers[i].slots = 12;
  }
  return servers;
}

Cost Measure(int count) {
  routing::ServerChooser chooser({"poa-a", "", base::NodeId{1}});
  base::Random random(1);
  base::Instant now{};
  chooser.SetServers(Candidates(count), now);
  const base::NodeId tried_nodes[] = {base::NodeId{2}};
  Cost cost;
  for (int round = 0; round < kRounds; ++round) {
    const int64_t allocations = g_allocations;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kChoices; ++i) {
      now += std::chrono::microseconds(10);
      const base::NodeId node = chooser.Choose(tried_nodes, now, random)->node;
      chooser.OnSent(node, now);
      chooser.OnEnded(node, {}, now);
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - start;
    const double each = took.count() / kChoices;
    cost.nanoseconds = round == 0 ? each : std::min(cost.nanoseconds, each);
    cost.allocations =
        static_cast<double>(g_allocations - allocations) / kChoices;
  }
  return cost;
}

}  // namespace

void AddChoiceCosts(FigureReport& report) {
  std::vector<double> times;
  for (const int count : {3, 15, 200, 3000}) {
    const Cost cost = Measure(count);
    const std::string name = "decisions/choice/" + std::to_string(count);
    report.Add({name + "/time", cost.nanoseconds, "ns"});
    report.Add({name + "/allocations", cost.allocations, "each", 0});
    times.push_back(cost.nanoseconds);
  }
  report.Add({"decisions/choice/3000-to-15", times[3] / times[1], "ratio",
              kMaxCostRatio});
}

}  // namespace chestnutport::bench
