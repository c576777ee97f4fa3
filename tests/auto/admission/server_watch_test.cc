// Liveness of the server, and the budget of probes.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "admission/probe_scheduler.h"
#include "admission/server_liveness.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

TEST_CASE("a server is alive while it announces itself") {
  ServerLiveness liveness;
  CHECK_FALSE(liveness.IsAlive(kStart));
  for (int i = 0; i < 20; ++i)
    liveness.OnAnnounced(kStart + i * seconds(1));
  const Instant last = kStart + seconds(19);
  CHECK(liveness.IsAlive(last + milliseconds(3400)));

  SECTION("and not after three missing announcements") {
    CHECK_FALSE(liveness.IsAlive(last + milliseconds(3600)));
  }

  SECTION("unless it still answers requests") {
    liveness.OnAnswer(last + seconds(3));
    CHECK(liveness.IsAlive(last + seconds(6)));
    CHECK_FALSE(liveness.IsAlive(last + seconds(7)));
  }

  SECTION("and not once it announced that it leaves") {
    liveness.OnLeft();
    CHECK_FALSE(liveness.IsAlive(last));
  }
}

TEST_CASE("a server is probed only without traffic") {
  ProbeScheduler probes({0.005, seconds(2)}, kStart - seconds(10));
  probes.OnAnswer(kStart);
  CHECK_FALSE(probes.StartIfDue(kStart + milliseconds(1999)));
  CHECK(probes.StartIfDue(kStart + seconds(2)));
  CHECK_FALSE(probes.StartIfDue(kStart + seconds(9)));  // The first still runs.
  probes.End(milliseconds(6), true, kStart + seconds(9));
  CHECK(probes.probes() == 1);
  CHECK(probes.spent() == milliseconds(6));

  SECTION("and never without a budget") {
    probes.set_options({0, seconds(2)});
    CHECK_FALSE(probes.StartIfDue(kStart + seconds(30)));
  }
}

TEST_CASE("a request may wait for an on-demand probe") {
  ProbeScheduler probes({0.2, milliseconds(250), milliseconds(15)},
                        kStart - seconds(10));
  probes.OnAnswer(kStart);
  CHECK_FALSE(probes.IsStale(kStart + milliseconds(14)));
  CHECK(probes.IsStale(kStart + milliseconds(15)));
  const Instant probed_at = kStart + milliseconds(20);
  REQUIRE(probes.StartOnDemand(probed_at));
  CHECK(probes.IsRunning());
  CHECK_FALSE(probes.StartOnDemand(probed_at));  // One at a time.

  SECTION("whose answer is valid for a short time") {
    probes.End(milliseconds(1), true, probed_at);
    CHECK_FALSE(probes.IsStale(probed_at + milliseconds(14)));
  }
  SECTION("but not repeatedly for a server that does not answer") {
    probes.End(milliseconds(20), false, probed_at);
    CHECK_FALSE(probes.IsStale(probed_at + milliseconds(100)));
    CHECK(probes.IsStale(probed_at + milliseconds(200)));
  }
  SECTION("and not beyond the budget") {
    probes.End(milliseconds(1), true, probed_at);
    probes.set_options({0, milliseconds(250), milliseconds(15)});
    CHECK_FALSE(probes.StartOnDemand(probed_at + milliseconds(50)));
  }
  SECTION("and not if it is not declared") {
    probes.set_options({0.2, milliseconds(250)});
    CHECK_FALSE(probes.IsStale(probed_at + seconds(5)));
  }
}

TEST_CASE("a node in a restart loop keeps the budget") {
  Duration spent{};
  for (int incarnation = 0; incarnation < 50; ++incarnation) {
    const Instant began = kStart + incarnation * seconds(3);
    ProbeScheduler probes({0.005, seconds(2)}, began);
    for (Instant now = began; now < began + seconds(3);
         now += milliseconds(10)) {
      if (const auto time_limit = probes.StartIfDue(now))
        probes.End(*time_limit, false, now);
    }
    spent += probes.spent();
  }
  CHECK(spent > Duration::zero());
  CHECK(spent <= milliseconds(750));  // 0.5% of 150 s.
}

// A scheduler that keeps the probe interval but has no budget.
struct Unbudgeted : ProbeScheduler {
  Unbudgeted(ProbeOptions options, Instant now)
      : ProbeScheduler((options.budget = 1, options), now) {}
};

// Returns the largest server time spent on probes in any window of ten seconds.
// Each probe uses a share of its time limit.
template <typename Scheduler>
Duration WorstWindow(const std::vector<std::pair<int, int>>& steps,
                     const ProbeOptions& options) {
  Scheduler probes(options, kStart);
  Instant now = kStart;
  std::deque<std::pair<Instant, Duration>> spent;
  Duration worst{};
  for (const auto& [pause_ms, share] : steps) {
    now += milliseconds(pause_ms);
    const auto time_limit = probes.StartIfDue(now);
    if (!time_limit)
      continue;
    const Duration cost = *time_limit * share / 100;
    probes.End(cost, share < 50, now + cost);
    spent.emplace_back(now, cost);
    while (spent.front().first + kProbeBudgetWindow <= now)
      spent.pop_front();
    Duration sum{};
    for (const auto& [begun, each] : spent)
      sum += each;
    worst = std::max(worst, sum);
  }
  return worst;
}

TEST_CASE("probes never exceed the budget") {
  const ProbeOptions options{0.005, milliseconds(100)};
  rc::prop("in every window of ten seconds", [&] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 500), rc::gen::inRange(0, 101)));
    RC_ASSERT(WorstWindow<ProbeScheduler>(steps, options) <= milliseconds(50));
  });

  SECTION("a scheduler without a budget fails the check") {
    const std::vector<std::pair<int, int>> steps(100, {200, 100});
    CHECK(WorstWindow<Unbudgeted>(steps, options) > milliseconds(50));
    CHECK(WorstWindow<ProbeScheduler>(steps, options) <= milliseconds(50));
  }
}

}  // namespace
}  // namespace chestnutport::admission
