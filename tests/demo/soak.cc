// Soak test: injects seeded random faults into a small fleet for a given time
// or number of rounds. Prints the seed, each fault and the counts; exits
// non-zero on a violation. Run by scripts/soak.
#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "support/small_fleet.h"

namespace {

namespace test = chestnutport::test;
using std::chrono::milliseconds;

// A fault: the action that starts it and the one that ends it. Either may be
// empty.
struct Fault {
  const char* name;
  std::function<void(test::Fleet&, test::Vm&)> begin;
  std::function<void(test::Fleet&, test::Vm&)> end;
};

void StopGracefully(test::Vm& vm) {
  vm.node->Signal(SIGTERM);
}

const std::vector<Fault>& AllFaults() {
  static const std::vector<Fault> faults = {
      {"server killed", nullptr,
       [](test::Fleet& fleet, test::Vm& vm) { fleet.StartServer(vm); }},
      {"node killed", nullptr,
       [](test::Fleet& fleet, test::Vm& vm) { fleet.StartNode(vm); }},
      {"node stopped in order and started anew",
       [](test::Fleet&, test::Vm& vm) { StopGracefully(vm); },
       [](test::Fleet& fleet, test::Vm& vm) {
         vm.node->WaitForExit(std::chrono::seconds(40));
         fleet.StartNode(vm);
       }},
      {"node told that its settings changed",
       [](test::Fleet&, test::Vm& vm) { vm.node->Signal(SIGHUP); }, nullptr},
      {"node frozen",
       [](test::Fleet&, test::Vm& vm) { vm.node->Signal(SIGSTOP); },
       [](test::Fleet&, test::Vm& vm) { vm.node->Signal(SIGCONT); }},
      {"server frozen",
       [](test::Fleet&, test::Vm& vm) { vm.server->Signal(SIGSTOP); },
       [](test::Fleet&, test::Vm& vm) { vm.server->Signal(SIGCONT); }},
      {"node's connections silent",
       [](test::Fleet&, test::Vm& vm) {
         vm.peer_relay->SilenceOpenConnections();
       },
       nullptr},
      {"node cut off from others",
       [](test::Fleet&, test::Vm& vm) { vm.peer_relay->Cut(true); },
       [](test::Fleet&, test::Vm& vm) { vm.peer_relay->Cut(false); }},
      {"answers of the node lost",
       [](test::Fleet&, test::Vm& vm) { vm.peer_relay->DropAnswers(true); },
       [](test::Fleet&, test::Vm& vm) { vm.peer_relay->DropAnswers(false); }},
      {"node's link slow",
       [](test::Fleet&, test::Vm& vm) {
         vm.peer_relay->SetDelay(milliseconds(80));
       },
       [](test::Fleet&, test::Vm& vm) {
         vm.peer_relay->SetDelay(milliseconds(0));
       }},
      {"server's connections reset",
       [](test::Fleet&, test::Vm& vm) {
         vm.server_relay->ResetOpenConnections();
       },
       nullptr},
      {"store down",
       [](test::Fleet& fleet, test::Vm&) {
         fleet.CommandStore(R"({"mode": "down"})");
       },
       [](test::Fleet& fleet, test::Vm&) {
         fleet.CommandStore(R"({"mode": "up"})");
       }},
      {"server straggles",
       [](test::Fleet& fleet, test::Vm& vm) {
         fleet.CommandServer(vm, R"({"straggle_ms": 1000})");
       },
       [](test::Fleet& fleet, test::Vm& vm) {
         fleet.CommandServer(vm, R"({"straggle_ms": 0})");
       }},
  };
  return faults;
}

// The start or end of a fault, at its offset from the start of the round.
struct FaultEvent {
  milliseconds at;
  std::string what;
  std::function<void()> run;
};

void AddFault(test::SmallFleet& small,
              chestnutport::base::Random& random,
              std::vector<FaultEvent>& events) {
  const Fault& fault = AllFaults()[random() % AllFaults().size()];
  const auto& vms = small.fleet.vms();
  test::Vm& vm = *vms[random() % vms.size()];
  const milliseconds start(random() % 1500);
  const milliseconds duration(200 + random() % 3300);
  const std::string name = std::string(fault.name) + ": " + vm.name;
  const auto add = [&](milliseconds at, const std::string& what,
                       const auto& action) {
    if (action)
      events.push_back(
          {at, what, [&small, &vm, action] { action(small.fleet, vm); }});
  };
  add(start, name + " begins", fault.begin);
  add(start + duration, name + " ends", fault.end);
}

// Overlapping faults may stop the same process. A signal to an exited process
// has no effect, and the `end` action of a kill restarts the process in any
// case.
void RunEvents(std::vector<FaultEvent> events) {
  std::ranges::stable_sort(events, {}, &FaultEvent::at);
  const auto start = std::chrono::steady_clock::now();
  for (const FaultEvent& event : events) {
    std::this_thread::sleep_until(start + event.at);
    std::cout << "  " << event.at.count() << " ms " << event.what << std::endl;
    event.run();
  }
}

// Runs one round: a load, and one to three random faults on random VMs, which
// may overlap.
test::Audit RunRound(test::SmallFleet& small,
                     chestnutport::base::Random& random,
                     uint64_t round) {
  std::vector<FaultEvent> events;
  const size_t count = 1 + random() % 3;
  for (size_t i = 0; i < count; ++i)
    AddFault(small, random, events);
  test::LoadOptions load;
  load.prefix = "round" + std::to_string(round);
  load.seed = random();
  return small.RunWithFault(load, [&] { RunEvents(events); });
}

}  // namespace

int main(int argc, char** argv) {
  int amount = 0;
  uint64_t seed = 0;
  const std::string unit = argc == 4 ? argv[2] : "";
  if (argc != 4 || !absl::SimpleAtoi(argv[1], &amount) ||
      (unit != "minutes" && unit != "rounds") ||
      !absl::SimpleAtoi(argv[3], &seed)) {
    std::cerr << "usage: soak AMOUNT minutes|rounds SEED\n";
    return 2;
  }
  chestnutport::base::Random random(seed);
  std::cout << "seed " << seed << std::endl;
  size_t violations = 0;
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::minutes(amount);
  const auto has_next_round = [&](uint64_t round) {
    return unit == "rounds" ? round <= static_cast<uint64_t>(amount)
                            : std::chrono::steady_clock::now() < end;
  };
  test::SmallFleet small;
  for (uint64_t round = 1; has_next_round(round); ++round) {
    const test::Audit audit = RunRound(small, random, round);
    violations += audit.violations();
    std::cout << "round " << round << ": " << audit.ToString() << std::endl;
  }
  std::cout << "seed " << seed << ", violations " << violations << std::endl;
  return violations == 0 ? 0 : 1;
}
