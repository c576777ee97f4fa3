// Guards against a cold server that crashes because it gets many more requests
// in a second than it tolerates. The gate counts the requests from all nodes.
#include <rapidcheck.h>

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_controller.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr ColdStartOptions kCold{.rate = 24,
                                 .burst = 8,
                                 .after_start = seconds(3)};
constexpr milliseconds kTick(10);
constexpr milliseconds kWork(65);

// Returns the largest number of `starts` within any one second.
size_t MaxStartsPerSecond(const std::vector<Instant>& starts) {
  size_t most = 0;
  for (auto first = starts.begin(); first != starts.end(); ++first) {
    const auto end = std::ranges::lower_bound(starts, *first + seconds(1));
    most = std::max(most, static_cast<size_t>(end - first));
  }
  return most;
}

AdmissionOptions ColdServer() {
  AdmissionOptions options;
  options.slots = 7;
  options.adaptive = false;
  options.cold = kCold;
  return options;
}

// All nodes together send one server many times the load that it tolerates.
class OverloadSimulation {
 public:
  explicit OverloadSimulation(const AdmissionOptions& options)
      : admission(options) {}

  // Sends a request every `each` until `end`.
  void Run(Instant begin, Instant end, Duration each) {
    Instant next_tick = begin;
    for (Instant now = begin; now < end; now += each) {
      for (; next_tick <= now; next_tick += kTick) {
        FinishUntil(next_tick);
        Apply(admission.Tick(next_tick), next_tick);
      }
      FinishUntil(now);
      const Arrival arrival{{1, ++last_}, "", "", now + seconds(1), {}};
      Apply(admission.Arrive(arrival, now), now);
    }
  }

  AdmissionController admission;
  std::vector<Instant> starts;
  std::vector<Duration> retry_delays;  // Retry-After of refused requests.

 private:
  struct Running {
    base::AttemptId id;
    Instant end;
  };

  void FinishUntil(Instant now) {
    while (!running_.empty() && running_.front().end <= now) {
      const Running ended = running_.front();
      running_.erase(running_.begin());
      Apply(admission.Finish(ended.id, ended.end), ended.end);
    }
  }

  void Apply(const AdmissionActions& actions, Instant now) {
    for (const AdmissionAction& action : actions) {
      if (action.kind == ActionKind::kStart) {
        starts.push_back(now);
        running_.push_back({action.attempt, now + kWork});
      } else {
        retry_delays.push_back(action.retry_after);
      }
    }
  }

  std::vector<Running> running_;  // Sorted by end.
  uint64_t last_ = 0;
};

TEST_CASE("a started server gets the rate it tolerates") {
  OverloadSimulation simulation(ColdServer());
  simulation.admission.OnServerStarted(kStart);
  simulation.Run(kStart, kStart + seconds(3), milliseconds(2));
  CHECK(MaxStartsPerSecond(simulation.starts) <= 32);
  // The tolerated rate is also used in full.
  CHECK(simulation.starts.size() >= 3 * 24);

  SECTION("refused requests get a usable Retry-After") {
    REQUIRE_FALSE(simulation.retry_delays.empty());
    CHECK(std::ranges::max(simulation.retry_delays) <= seconds(2));
  }
  SECTION("a warm server gets all that its slots can serve") {
    simulation.starts.clear();
    simulation.Run(kStart + seconds(3), kStart + seconds(4), milliseconds(2));
    CHECK(simulation.starts.size() > 90);
  }
}

TEST_CASE("the server's report overrides the assumption after its start") {
  AdmissionController admission(ColdServer());
  admission.OnServerStarted(kStart);
  ColdStartLimiter& cold = admission.cold_limiter();

  SECTION("it reports that it is warm") {
    cold.OnReported({}, kStart);
    CHECK_FALSE(cold.IsCold(kStart));
  }
  SECTION("it reports that it stays cold for longer") {
    cold.OnReported(seconds(5), kStart + seconds(1));
    CHECK(cold.IsCold(kStart + seconds(5)));
    CHECK_FALSE(cold.IsCold(kStart + seconds(6)));
  }
  SECTION("an outdated report is ignored") {
    cold.OnReported({}, kStart + seconds(1));
    cold.OnReported(seconds(3), kStart);
    CHECK_FALSE(cold.IsCold(kStart + seconds(1)));
  }
}

TEST_CASE("a health check without a cold report ends an assumed cold state") {
  ColdStartLimiter cold(kCold);
  cold.OnServerStarted(kStart);

  SECTION("after a start of the server or of the node") {
    cold.OnHealthyWithoutReport(kStart + milliseconds(5));
    CHECK_FALSE(cold.IsCold(kStart + milliseconds(5)));
  }
  SECTION("but not a reported one") {
    cold.OnReported(seconds(3), kStart);
    cold.OnHealthyWithoutReport(kStart + milliseconds(5));
    CHECK(cold.IsCold(kStart + milliseconds(5)));
  }
  SECTION("nor a reported one that is assumed again") {
    cold.OnReported(seconds(3), kStart);
    cold.AssumeCold(kStart + seconds(1));
    cold.OnHealthyWithoutReport(kStart + seconds(1));
    CHECK(cold.IsCold(kStart + seconds(1)));
  }
}

TEST_CASE("a warm server becomes cold under load") {
  OverloadSimulation simulation(ColdServer());
  simulation.Run(kStart, kStart + seconds(2), milliseconds(2));
  const Instant cold_at = kStart + seconds(2);
  simulation.admission.cold_limiter().OnReported(seconds(3), cold_at);
  simulation.starts.clear();
  simulation.Run(cold_at, cold_at + seconds(3), milliseconds(2));
  CHECK(MaxStartsPerSecond(simulation.starts) <= 32);

  SECTION("requests before the report use up the first second's tokens") {
    const auto early = std::ranges::count_if(
        simulation.starts,
        [&](Instant at) { return at < cold_at + milliseconds(500); });
    CHECK(early == 0);
  }
}

TEST_CASE("a server is assumed cold until it reports otherwise") {
  ColdStartLimiter cold(kCold);
  CHECK_FALSE(cold.IsCold(kStart));
  cold.AssumeCold(kStart);
  CHECK(cold.IsCold(kStart + milliseconds(100)));
  cold.OnReported({}, kStart + milliseconds(200));
  CHECK_FALSE(cold.IsCold(kStart + milliseconds(200)));
}

TEST_CASE("a probe costs a cold server as much as a request") {
  AdmissionController admission(ColdServer());
  admission.OnServerStarted(kStart);
  for (int i = 0; i < 8; ++i)
    admission.OnProbed(kStart);
  CHECK_FALSE(admission.HasCapacity(kStart));
}

// Twice the load that the server tolerates; a fifth of the requests are urgent
// and arrive between the others. Each request may wait until its target.
TEST_CASE("the capacity of a cold server goes to the most urgent requests") {
  AdmissionOptions options = ColdServer();
  options.shares.classes = {{"urgent", 0}, {"usual", 1}, {"other", 2}};
  AdmissionController admission(options);
  admission.OnServerStarted(kStart);
  struct Counts {
    int requested = 0;
    int started = 0;
  };
  std::map<std::string, Counts> counts;
  std::map<uint64_t, std::string> class_of;
  std::deque<std::pair<Instant, base::AttemptId>> running;
  const auto apply = [&](const AdmissionActions& actions, Instant now) {
    for (const AdmissionAction& action : actions) {
      if (action.kind != ActionKind::kStart)
        continue;
      ++counts[class_of[action.attempt.sequence]].started;
      running.emplace_back(now + kWork, action.attempt);
    }
  };
  uint64_t last = 0;
  for (Instant now = kStart; now < kStart + seconds(3); now += kTick) {
    while (!running.empty() && running.front().first <= now) {
      const auto ended = running.front();
      running.pop_front();
      apply(admission.Finish(ended.second, now), now);
    }
    apply(admission.Tick(now), now);
    if (++last % 2 != 0)
      continue;
    const char* name = last % 10 == 0  ? "urgent"
                       : last % 4 == 0 ? "usual"
                                       : "other";
    class_of[last] = name;
    ++counts[name].requested;
    const Arrival arrival{
        {1, last}, "", name, now + seconds(1), now + milliseconds(200)};
    apply(admission.Arrive(arrival, now), now);
  }
  INFO("usual " << counts["usual"].started << " of "
                << counts["usual"].requested << ", other "
                << counts["other"].started << " of "
                << counts["other"].requested);
  CHECK(counts["urgent"].started == counts["urgent"].requested);
  // Of about 80 starts, 50 are left after the urgent requests, for 60 usual
  // ones.
  CHECK(counts["usual"].started * 3 >= counts["usual"].requested * 2);
  CHECK(counts["other"].started * 4 <= counts["usual"].started);
}

TEST_CASE("a service without a declared rate is not limited") {
  AdmissionOptions options = ColdServer();
  options.cold.rate = 0;
  OverloadSimulation simulation(options);
  simulation.admission.OnServerStarted(kStart);
  simulation.Run(kStart, kStart + seconds(1), milliseconds(2));
  CHECK(simulation.starts.size() > 90);
}

TEST_CASE("for any arrivals, no second exceeds the declared limits") {
  rc::prop("a bound on any second, as the server counts", [] {
    const auto rate = *rc::gen::inRange(5, 100);
    const auto burst = *rc::gen::inRange(3, 30);
    const auto gaps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 40));
    AdmissionOptions options = ColdServer();
    options.slots = 1000;
    options.cold = {.rate = static_cast<double>(rate),
                    .burst = static_cast<double>(burst),
                    .after_start = std::chrono::hours(1)};
    AdmissionController admission(options);
    admission.OnServerStarted(kStart);
    Instant now = kStart;
    std::vector<Instant> arrivals;
    uint64_t last = 0;
    // A busy VM delays requests between the decision and the server.
    const auto delays =
        *rc::gen::container<std::vector<int>>(17, rc::gen::inRange(0, 100));
    for (const int gap : gaps) {
      now += milliseconds(gap);
      const Arrival arrival{{1, ++last}, "", "", now + seconds(1), {}};
      for (const auto& actions :
           {admission.Tick(now), admission.Arrive(arrival, now)}) {
        for (const AdmissionAction& action : actions) {
          if (action.kind == ActionKind::kStart)
            arrivals.push_back(
                now + milliseconds(delays[arrivals.size() % delays.size()]));
        }
      }
    }
    std::ranges::sort(arrivals);
    // Plus the health check that discovers the server.
    RC_ASSERT(MaxStartsPerSecond(arrivals) + 1 <=
              static_cast<size_t>(rate + burst));
  });
}

}  // namespace
}  // namespace chestnutport::admission
