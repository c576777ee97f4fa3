// Soak test: injects seeded random faults into a small fleet for a given time
// or number of rounds. Prints the seed, each fault and the counts; exits
// non-zero on a violation. Run by scripts/soak.
#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "support/small_fleet.h"

namespace {

namespace test = chestnutport::test;
using std::chrono::milliseconds;

// A rate limit that one of the servers states, in requests per second, and the
// most that it may get of it in 4 s.
constexpr size_t kRateLimit = 20;
constexpr size_t kMaxInWindow = kRateLimit * 4 * 3 / 2 + 5;
// How long a server states its rate limit, and that it is leaving, at least.
constexpr milliseconds kRateLimitTime(2000);
constexpr milliseconds kLeavingTime(4000);

// A fault: the action that starts it and the one that ends it. Either may be
// empty.
struct Fault {
  const char* name;
  std::function<void(test::Fleet&, test::Vm&)> begin;
  std::function<void(test::Fleet&, test::Vm&)> end;
  // The node does not have to remember what it has passed on.
  bool excuses_node = false;
  milliseconds least{};  // Minimum duration.
  // Returns whether a promise was broken; run before `end`.
  std::function<bool(test::Fleet&, test::Vm&)> is_broken;
};

// Returns whether a server got more requests than the rate limit that it states
// allows. A server that does not respond has been killed or frozen since.
bool IsOverRateLimit(test::Fleet& fleet, const test::Vm& vm) {
  const auto counts = fleet.CommandServer(vm, "");
  return counts.is_object() &&
         counts.value("most_in_window", size_t{0}) > kMaxInWindow;
}

void StopGracefully(test::Vm& vm) {
  vm.node->Signal(SIGTERM);
}

const std::vector<Fault>& AllFaults() {
  static const std::vector<Fault> faults = {
      {"server killed", nullptr,
       [](test::Fleet& fleet, test::Vm& vm) { fleet.StartServer(vm); }},
      {"node killed", nullptr,
       [](test::Fleet& fleet, test::Vm& vm) { fleet.StartNode(vm); }, true},
      {"node stopped in order and started anew",
       [](test::Fleet&, test::Vm& vm) { StopGracefully(vm); },
       [](test::Fleet& fleet, test::Vm& vm) {
         vm.node->WaitForExit(std::chrono::seconds(40));
         fleet.StartNode(vm);
       },
       true},
      {"node told that its settings changed",
       [](test::Fleet&, test::Vm& vm) { vm.node->Signal(SIGHUP); }, nullptr},
      {"node frozen",
       [](test::Fleet&, test::Vm& vm) { vm.node->Signal(SIGSTOP); },
       [](test::Fleet&, test::Vm& vm) { vm.node->Signal(SIGCONT); }, true},
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
      {.name = "server states a rate limit",
       .begin =
           [](test::Fleet& fleet, test::Vm& vm) {
             fleet.CommandServer(
                 vm, R"({"rate_limit": )" + std::to_string(kRateLimit) + "}");
           },
       .end =
           [](test::Fleet& fleet, test::Vm& vm) {
             fleet.CommandServer(vm, R"({"rate_limit": 0})");
           },
       .least = kRateLimitTime,
       .is_broken = IsOverRateLimit},
      {.name = "server states that it is leaving",
       .begin =
           [](test::Fleet& fleet, test::Vm& vm) {
             fleet.CommandServer(vm, R"({"leaving": true})");
           },
       .end = [](test::Fleet& fleet, test::Vm& vm) { fleet.StartServer(vm); },
       .least = kLeavingTime},
  };
  return faults;
}

// The start or end of a fault, at its offset from the start of the round.
struct FaultEvent {
  milliseconds at;
  std::string what;
  std::function<void()> run;
};

// The faults of one round, and what they showed.
struct Round {
  std::vector<FaultEvent> events;
  std::set<const test::Vm*> excused;  // VMs with a node that may forget.
  size_t violations = 0;
};

void AddFault(test::SmallFleet& small,
              chestnutport::base::Random& random,
              Round& round) {
  const Fault& fault = AllFaults()[random() % AllFaults().size()];
  const auto& vms = small.fleet.vms();
  test::Vm& vm = *vms[random() % vms.size()];
  const milliseconds start(random() % 1500);
  const milliseconds duration =
      std::max(fault.least, milliseconds(200 + random() % 3300));
  const std::string name = std::string(fault.name) + ": " + vm.name;
  if (fault.excuses_node)
    round.excused.insert(&vm);
  const auto begin = [&small, &vm, &fault] {
    if (fault.begin)
      fault.begin(small.fleet, vm);
  };
  const auto end = [&small, &vm, &fault, &round] {
    if (fault.is_broken && fault.is_broken(small.fleet, vm))
      ++round.violations;
    if (fault.end)
      fault.end(small.fleet, vm);
  };
  round.events.push_back({start, name + " begins", begin});
  round.events.push_back({start + duration, name + " ends", end});
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

// Returns how many requests ran at a server of which their node knew that it is
// leaving.
size_t RanAtLeaving(const test::Audit& audit, const Round& round) {
  size_t count = 0;
  for (const auto& [node, ran] : audit.ran_at_leaving) {
    const bool is_excused = std::ranges::any_of(
        round.excused,
        [&](const test::Vm* vm) { return vm->caller_address == node; });
    count += is_excused ? 0 : ran;
  }
  return count;
}

// Runs one round: a load, and one to three random faults on random VMs, which
// may overlap. Returns the number of violations.
size_t RunRound(test::SmallFleet& small,
                chestnutport::base::Random& random,
                uint64_t number) {
  Round round;
  const size_t count = 1 + random() % 3;
  for (size_t i = 0; i < count; ++i)
    AddFault(small, random, round);
  test::LoadOptions load;
  load.prefix = "round" + std::to_string(number);
  load.seed = random();
  const test::Audit audit =
      small.RunWithFault(load, [&] { RunEvents(round.events); });
  const size_t ran_at_leaving = RanAtLeaving(audit, round);
  std::cout << "round " << number << ": " << audit.ToString()
            << ", ran at a leaving server " << ran_at_leaving
            << ", over a rate limit " << round.violations << std::endl;
  return audit.violations() + ran_at_leaving + round.violations;
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
  test::SmallFleet small({"--announce_start"});
  for (uint64_t round = 1; has_next_round(round); ++round)
    violations += RunRound(small, random, round);
  std::cout << "seed " << seed << ", violations " << violations << std::endl;
  return violations == 0 ? 0 : 1;
}
