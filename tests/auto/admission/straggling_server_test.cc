// A server whose work takes a great part of what callers allow, beside more
// callers than it can serve: what it starts is done in time, and nobody is told
// "unknown" of what was never going to be done.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "admission/admission_controller.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr milliseconds kDeadline(3000);
constexpr milliseconds kStraggling(700);
constexpr milliseconds kWell(50);
constexpr milliseconds kTick(10);
constexpr int kSlots = 4;

struct Figures {
  int started = 0;
  int answered = 0;
  int hopeless = 0;  // Started with less time left than their work takes.
  // The same, but for a tenth of the work.
  int quite_hopeless = 0;
  int refused = 0;
};

// Requests without a target, of one length, at random times.
class Play {
 public:
  Play() : admission_({.slots = kSlots, .queue = 100, .adaptive = false}) {}

  // `work` of each; `load`: of what the slots can serve.
  Figures Run(Duration work, double load, int requests) {
    figures_ = {};
    std::exponential_distribution<double> gaps(
        kSlots * load / std::chrono::duration<double>(work).count());
    work_ = work;
    for (int i = 0; i < requests; ++i) {
      Pass(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gaps(random_))));
      deadlines_[++last_] = now_ + kDeadline;
      Take(
          admission_.Arrive({{1, last_}, "", "a", now_ + kDeadline, {}}, now_));
    }
    Pass(kDeadline);
    return figures_;
  }

 private:
  struct End {
    Instant at;
    uint64_t id;
    bool operator>(const End& other) const { return at > other.at; }
  };

  void Pass(Duration time) {
    const Instant until = now_ + time;
    while (now_ < until) {
      now_ = std::min<Instant>(now_ + kTick, until);
      while (!running_.empty() && running_.top().at <= now_) {
        const End end = running_.top();
        running_.pop();
        const bool is_answered = end.at <= deadlines_[end.id];
        figures_.answered += is_answered ? 1 : 0;
        Take(admission_.Finish(
            {1, end.id}, end.at,
            is_answered ? ServerResult::kAnswered : ServerResult::kUncertain));
      }
      Take(admission_.Tick(now_));
    }
  }

  void Take(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      const uint64_t id = action.attempt.sequence;
      if (action.kind != ActionKind::kStart) {
        ++figures_.refused;
        continue;
      }
      ++figures_.started;
      figures_.hopeless += now_ + work_ > deadlines_[id] ? 1 : 0;
      figures_.quite_hopeless += now_ + 0.9 * work_ > deadlines_[id] ? 1 : 0;
      running_.push({now_ + work_, id});
    }
  }

  AdmissionController admission_;
  Instant now_ = kStart;
  Duration work_{};
  uint64_t last_ = 0;
  std::mt19937_64 random_{7};
  std::map<uint64_t, Instant> deadlines_;
  std::priority_queue<End, std::vector<End>, std::greater<>> running_;
  Figures figures_;
};

TEST_CASE("a server begins to straggle without a warning") {
  Play play;
  play.Run(kWell, 0.5, 1000);
  const double load = GENERATE(1.1, 1.5, 3.0);
  const Figures figures = play.Run(kStraggling, load, 200);
  CAPTURE(load, figures.started, figures.answered, figures.refused);

  SECTION("and starts nothing soon that it cannot finish by far") {
    CHECK(figures.quite_hopeless == 0);
  }
}

TEST_CASE("a straggling server gets more than it can do") {
  Play play;
  play.Run(kStraggling, 0.5, 100);  // Its gate learns how long it takes.
  const double load = GENERATE(1.1, 1.5, 3.0);
  const Figures figures = play.Run(kStraggling, load, 1000);
  CAPTURE(load, figures.started, figures.answered, figures.refused);

  SECTION("and starts only what it can finish") {
    CHECK(figures.hopeless == 0);
  }
  SECTION("and is kept at work") {
    const double time = 1000 *
                        std::chrono::duration<double>(kStraggling).count() /
                        (kSlots * load);
    const double capacity =
        kSlots * time / std::chrono::duration<double>(kStraggling).count();
    CHECK(figures.answered >= 0.95 * capacity);
  }
  SECTION("and serves all again once it is well") {
    const Figures well = play.Run(kWell, 0.5, 1000);
    CHECK(well.refused <= 5);
    CHECK(well.answered >= 995);
  }
}

}  // namespace
}  // namespace chestnutport::admission
