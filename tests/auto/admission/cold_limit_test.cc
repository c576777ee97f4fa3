// A cold server ends when it gets many more requests in a second than it
// tolerates. The gate counts all that it is handed, from whatever node.
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

// The most of `starts` that lie in any one second.
size_t MostInASecond(const std::vector<Instant>& starts) {
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

// All nodes send to one server, many times what it tolerates.
class Rush {
 public:
  explicit Rush(const AdmissionOptions& options) : admission(options) {}

  // Requests at `each`, until `end`.
  void Play(Instant begin, Instant end, Duration each) {
    Instant next_tick = begin;
    for (Instant now = begin; now < end; now += each) {
      for (; next_tick <= now; next_tick += kTick) {
        FinishUntil(next_tick);
        Take(admission.Tick(next_tick), next_tick);
      }
      FinishUntil(now);
      const Arrival arrival{{1, ++last_}, "", "", now + seconds(1), {}};
      Take(admission.Arrive(arrival, now), now);
    }
  }

  AdmissionController admission;
  std::vector<Instant> starts;
  std::vector<Duration> told;  // When those that were refused may come back.

 private:
  struct Running {
    base::AttemptId id;
    Instant end;
  };

  void FinishUntil(Instant now) {
    while (!running_.empty() && running_.front().end <= now) {
      const Running ended = running_.front();
      running_.erase(running_.begin());
      Take(admission.Finish(ended.id, ended.end), ended.end);
    }
  }

  void Take(const AdmissionActions& actions, Instant now) {
    for (const AdmissionAction& action : actions) {
      if (action.kind == ActionKind::kStart) {
        starts.push_back(now);
        running_.push_back({action.attempt, now + kWork});
      } else {
        told.push_back(action.retry_after);
      }
    }
  }

  std::vector<Running> running_;  // By their ends.
  uint64_t last_ = 0;
};

TEST_CASE("a server that has just started gets what it tolerates") {
  Rush rush(ColdServer());
  rush.admission.OnServerStarted(kStart);
  rush.Play(kStart, kStart + seconds(3), milliseconds(2));
  CHECK(MostInASecond(rush.starts) <= 32);
  // Nor does it get less: what it tolerates is all that there is.
  CHECK(rush.starts.size() >= 3 * 24);

  SECTION("those that are refused are told when a place is free") {
    REQUIRE_FALSE(rush.told.empty());
    CHECK(std::ranges::max(rush.told) <= seconds(2));
  }
  SECTION("and once it is warm it gets all that its slots serve") {
    rush.starts.clear();
    rush.Play(kStart + seconds(3), kStart + seconds(4), milliseconds(2));
    CHECK(rush.starts.size() > 90);
  }
}

TEST_CASE("the server's own word counts, not its start") {
  AdmissionController admission(ColdServer());
  admission.OnServerStarted(kStart);
  ColdStartLimiter& cold = admission.cold_limiter();

  SECTION("it is warm at once") {
    cold.OnReported({}, kStart);
    CHECK_FALSE(cold.IsCold(kStart));
  }
  SECTION("it stays cold for longer") {
    cold.OnReported(seconds(5), kStart + seconds(1));
    CHECK(cold.IsCold(kStart + seconds(5)));
    CHECK_FALSE(cold.IsCold(kStart + seconds(6)));
  }
  SECTION("a late word changes nothing") {
    cold.OnReported({}, kStart + seconds(1));
    cold.OnReported(seconds(3), kStart);
    CHECK_FALSE(cold.IsCold(kStart + seconds(1)));
  }
}

TEST_CASE("a health check that finds no sign of it ends what was only likely") {
  ColdStartLimiter cold(kCold);
  cold.OnServerStarted(kStart);

  SECTION("after a start, or beside a node that started") {
    cold.OnHealthyWithoutReport(kStart + milliseconds(5));
    CHECK_FALSE(cold.IsCold(kStart + milliseconds(5)));
  }
  SECTION("but not what the server said itself") {
    cold.OnReported(seconds(3), kStart);
    cold.OnHealthyWithoutReport(kStart + milliseconds(5));
    CHECK(cold.IsCold(kStart + milliseconds(5)));
  }
  SECTION("nor that of a server in doubt that had said so") {
    cold.OnReported(seconds(3), kStart);
    cold.AssumeCold(kStart + seconds(1));
    cold.OnHealthyWithoutReport(kStart + seconds(1));
    CHECK(cold.IsCold(kStart + seconds(1)));
  }
}

TEST_CASE("a warm server becomes cold while it is busy") {
  Rush rush(ColdServer());
  rush.Play(kStart, kStart + seconds(2), milliseconds(2));
  const Instant cold_at = kStart + seconds(2);
  rush.admission.cold_limiter().OnReported(seconds(3), cold_at);
  rush.starts.clear();
  rush.Play(cold_at, cold_at + seconds(3), milliseconds(2));
  CHECK(MostInASecond(rush.starts) <= 32);

  SECTION("the first second's share went to what started before") {
    const auto early = std::ranges::count_if(rush.starts, [&](Instant at) {
      return at < cold_at + milliseconds(500);
    });
    CHECK(early == 0);
  }
}

TEST_CASE("a server in doubt is taken for cold until it says that it is not") {
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

// Twice what the server tolerates; a fifth of it is urgent, and comes between
// the others. Each is late after its target, and may wait until then.
TEST_CASE("the few places of a cold server go to what is most urgent") {
  AdmissionOptions options = ColdServer();
  options.shares.classes = {{"urgent", 0}, {"usual", 1}, {"other", 2}};
  AdmissionController admission(options);
  admission.OnServerStarted(kStart);
  struct Figures {
    int asked = 0;
    int started = 0;
  };
  std::map<std::string, Figures> figures;
  std::map<uint64_t, std::string> class_of;
  std::deque<std::pair<Instant, base::AttemptId>> running;
  const auto take = [&](const AdmissionActions& actions, Instant now) {
    for (const AdmissionAction& action : actions) {
      if (action.kind != ActionKind::kStart)
        continue;
      ++figures[class_of[action.attempt.sequence]].started;
      running.emplace_back(now + kWork, action.attempt);
    }
  };
  uint64_t last = 0;
  for (Instant now = kStart; now < kStart + seconds(3); now += kTick) {
    while (!running.empty() && running.front().first <= now) {
      const auto ended = running.front();
      running.pop_front();
      take(admission.Finish(ended.second, now), now);
    }
    take(admission.Tick(now), now);
    if (++last % 2 != 0)
      continue;
    const char* name = last % 10 == 0  ? "urgent"
                       : last % 4 == 0 ? "usual"
                                       : "other";
    class_of[last] = name;
    ++figures[name].asked;
    const Arrival arrival{
        {1, last}, "", name, now + seconds(1), now + milliseconds(200)};
    take(admission.Arrive(arrival, now), now);
  }
  INFO("usual " << figures["usual"].started << " of " << figures["usual"].asked
                << ", other " << figures["other"].started << " of "
                << figures["other"].asked);
  CHECK(figures["urgent"].started == figures["urgent"].asked);
  // Of some 80 places the urgent leave 50, and 60 are asked for.
  CHECK(figures["usual"].started * 3 >= figures["usual"].asked * 2);
  CHECK(figures["other"].started * 4 <= figures["usual"].started);
}

TEST_CASE("a service that declares no rate is not held back") {
  AdmissionOptions options = ColdServer();
  options.cold.rate = 0;
  Rush rush(options);
  rush.admission.OnServerStarted(kStart);
  rush.Play(kStart, kStart + seconds(1), milliseconds(2));
  CHECK(rush.starts.size() > 90);
}

TEST_CASE("whatever comes when, no second holds more than was declared") {
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
    // A busy VM hands over late what was decided early.
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
    // One more is the health check that finds the server.
    RC_ASSERT(MostInASecond(arrivals) + 1 <= static_cast<size_t>(rate + burst));
  });
}

}  // namespace
}  // namespace chestnutport::admission
