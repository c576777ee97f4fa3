// Guards against a server that is sent more requests than the rate it states.
#include <rapidcheck.h>

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "admission/admission_controller.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr seconds kWindow(4);
constexpr milliseconds kStep(2);
constexpr milliseconds kWork(90);

AdmissionOptions FifteenSlots() {
  AdmissionOptions options;
  options.slots = 15;
  options.adaptive = false;
  options.shares.classes = {{"urgent", 0}, {"usual", 1}, {"other", 2}};
  return options;
}

// The requests of all nodes at the gate of one server.
class StatedRateSimulation {
 public:
  explicit StatedRateSimulation(const AdmissionOptions& options)
      : admission(options) {}

  // Sends a request of `traffic_class` every `each` until `end`.
  void Run(Instant begin,
           Instant end,
           Duration each,
           const std::string& traffic_class = "usual") {
    Instant next = begin;
    for (Instant now = begin; now < end; now += kStep) {
      while (!running_.empty() && running_.front().first <= now) {
        const auto attempt = running_.front().second;
        running_.pop_front();
        Apply(admission.Finish(attempt, now), now);
      }
      Apply(admission.Tick(now), now);
      for (; next <= now; next += each) {
        Apply(admission.Arrive({.attempt = {1, ++last_},
                                .tenant = "",
                                .traffic_class = traffic_class,
                                .deadline = now + milliseconds(1200),
                                .target = now + milliseconds(300)},
                               now),
              now);
      }
    }
  }
  size_t StartsIn(Instant begin, Instant end) const {
    return static_cast<size_t>(std::ranges::lower_bound(starts, end) -
                               std::ranges::lower_bound(starts, begin));
  }

  AdmissionController admission;
  std::vector<Instant> starts;
  std::vector<Duration> retry_delays;

 private:
  void Apply(const AdmissionActions& actions, Instant now) {
    for (const AdmissionAction& action : actions) {
      if (action.kind == ActionKind::kStart) {
        starts.push_back(now);
        running_.emplace_back(now + kWork, action.attempt);
      } else {
        retry_delays.push_back(action.retry_after);
      }
    }
  }

  std::deque<std::pair<Instant, base::AttemptId>> running_;
  uint64_t last_ = 0;
};

TEST_CASE("a server with a stated rate") {
  StatedRateSimulation simulation(FifteenSlots());
  simulation.Run(kStart, kStart + seconds(2), milliseconds(10));
  const Instant stated_at = kStart + seconds(2);
  simulation.admission.SetStatedRate(11.2, stated_at);
  simulation.Run(stated_at, stated_at + seconds(8), milliseconds(10));

  SECTION("gets that rate and one burst in any window") {
    for (Instant begin = stated_at; begin < stated_at + kWindow;
         begin += milliseconds(50)) {
      CHECK(simulation.StartsIn(begin, begin + kWindow) <=
            kWindow.count() * 11.2 + 1 + 11.2 / 4);
    }
  }
  SECTION("gets the rate in full") {
    CHECK(simulation.StartsIn(stated_at, stated_at + seconds(8)) >= 8 * 11);
  }
  SECTION("refuses the rest with a Retry-After that the rate can meet") {
    REQUIRE_FALSE(simulation.retry_delays.empty());
    CHECK(std::ranges::max(simulation.retry_delays) <= seconds(2));
    CHECK(std::ranges::min(simulation.retry_delays) >= milliseconds(1));
  }
  SECTION("gets all again within a second of the end of the limit") {
    const Instant ended_at = stated_at + seconds(8);
    simulation.admission.SetStatedRate(std::nullopt, ended_at);
    simulation.Run(ended_at, ended_at + seconds(2), milliseconds(10));
    CHECK(simulation.StartsIn(ended_at + seconds(1), ended_at + seconds(2)) >=
          98);
  }
  SECTION("gets one burst at most when its gate was frozen") {
    const Instant thawed_at = stated_at + seconds(11);
    simulation.Run(thawed_at, thawed_at + milliseconds(20),
                   std::chrono::microseconds(50));
    CHECK(simulation.StartsIn(thawed_at, thawed_at + milliseconds(20)) <=
          1 + static_cast<size_t>(11.2 / 4));
  }
  SECTION("loses what it has queued when it drains") {
    const Instant now = stated_at + seconds(8);
    const size_t before = simulation.starts.size();
    const AdmissionActions actions = simulation.admission.StartDrain(now);
    CHECK(std::ranges::all_of(actions, [](const AdmissionAction& action) {
      return action.kind == ActionKind::kRefuse;
    }));
    simulation.Run(now, now + seconds(2), milliseconds(10));
    CHECK(simulation.starts.size() == before);
  }
  SECTION("is not limited after it has started again") {
    const Instant started_at = stated_at + seconds(8);
    simulation.admission.OnServerStarted(started_at);
    simulation.Run(started_at, started_at + seconds(1), milliseconds(10));
    CHECK(simulation.StartsIn(started_at, started_at + seconds(1)) >= 80);
  }
}

TEST_CASE("the lower limit applies to a cold server that states a rate") {
  AdmissionOptions options = FifteenSlots();
  options.cold = {.rate = 16, .burst = 8, .after_start = seconds(4)};
  StatedRateSimulation simulation(options);
  simulation.admission.OnServerStarted(kStart);
  const Instant warm_at = kStart + seconds(4);

  SECTION("its own") {
    simulation.admission.SetStatedRate(6, kStart);
    simulation.Run(kStart, warm_at + seconds(4), milliseconds(10));
    CHECK(simulation.StartsIn(kStart, warm_at) <= 4 * 6 + 1 + 6 / 4);
    CHECK(simulation.StartsIn(warm_at, warm_at + seconds(4)) <=
          4 * 6 + 1 + 6 / 4);
  }
  SECTION("that of a cold server, until it is warm") {
    simulation.admission.SetStatedRate(40, kStart);
    simulation.Run(kStart, warm_at + seconds(4), milliseconds(10));
    CHECK(simulation.StartsIn(kStart, warm_at) <= 4 * 16 + 8);
    CHECK(simulation.StartsIn(warm_at, warm_at + seconds(4)) <=
          4 * 40 + 1 + 40 / 4);
    CHECK(simulation.StartsIn(warm_at, warm_at + seconds(4)) >= 4 * 39);
  }
}

TEST_CASE("a server that states a rate of zero gets a request now and then") {
  StatedRateSimulation simulation(FifteenSlots());
  simulation.admission.SetStatedRate(0, kStart);
  simulation.Run(kStart, kStart + seconds(20), milliseconds(50));
  CHECK(simulation.starts.size() >= 2);
  CHECK(simulation.StartsIn(kStart + seconds(8), kStart + seconds(12)) <= 2);
}

TEST_CASE("the capacity of a limited server goes to urgent requests first") {
  StatedRateSimulation simulation(FifteenSlots());
  simulation.admission.SetStatedRate(40, kStart);
  simulation.Run(kStart, kStart + seconds(1), milliseconds(2), "other");
  const Instant now = kStart + seconds(1);
  const AdmissionActions actions =
      simulation.admission.Arrive({.attempt = {2, 1},
                                   .tenant = "",
                                   .traffic_class = "urgent",
                                   .deadline = now + milliseconds(1200),
                                   .target = now + milliseconds(300)},
                                  now);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].kind == ActionKind::kStart);
}

TEST_CASE("a rate that changes all the time is kept to") {
  rc::prop("in any window, for any order of rates and loads", [] {
    const auto rates =
        *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 60));
    const auto gap = *rc::gen::inRange(1, 40);
    StatedRateSimulation simulation(FifteenSlots());
    std::vector<Instant> changes;
    constexpr milliseconds kEach(500);
    for (size_t i = 0; i < rates.size(); ++i) {
      const Instant now = kStart + static_cast<int>(i) * kEach;
      simulation.admission.SetStatedRate(rates[i], now);
      simulation.Run(now, now + kEach, milliseconds(gap));
    }
    constexpr size_t kChangesInWindow = kWindow / kEach;
    for (size_t i = 0; i + kChangesInWindow <= rates.size(); ++i) {
      double allowed = 0;
      int largest = 0;
      for (size_t j = i; j < i + kChangesInWindow; ++j) {
        allowed += std::max<double>(rates[j], 0.25) / 2;
        largest = std::max(largest, rates[j]);
      }
      const Instant begin = kStart + static_cast<int>(i) * kEach;
      RC_ASSERT(static_cast<double>(simulation.StartsIn(
                    begin, begin + kWindow)) <= allowed + 2 + largest / 4.0);
    }
  });
}

}  // namespace
}  // namespace chestnutport::admission
