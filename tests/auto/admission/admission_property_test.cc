// Random interleavings of all that can happen to attempts, judged by what an
// onlooker sees. Each property is shown to fail by a broken variant.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "admission/admission_controller.h"
#include "base/random.h"

namespace chestnutport::admission {
namespace {

using base::AttemptId;
using base::ErrorKind;
using base::Instant;
using std::chrono::milliseconds;

constexpr int kSlots = 2;
constexpr int kQueue = 3;
constexpr int kAttempts = 20;

enum class Deed {
  kArrive,
  kFinish,
  kShed,
  kCancel,
  kTick,
  kDrain,
  kUndrain,
  kRestart
};

// Arrivals often enough that the queue fills up.
constexpr Deed kDeeds[] = {
    Deed::kArrive, Deed::kArrive,  Deed::kArrive,  Deed::kArrive, Deed::kArrive,
    Deed::kArrive, Deed::kFinish,  Deed::kShed,    Deed::kCancel, Deed::kTick,
    Deed::kDrain,  Deed::kUndrain, Deed::kUndrain, Deed::kRestart};
constexpr int kDeedCount = std::size(kDeeds);

struct Event {
  Deed deed;
  int attempt;
  int pause_ms;
};

AdmissionOptions Options() {
  AdmissionOptions options;
  options.slots = kSlots;
  options.queue = kQueue;
  options.ledger.max_finished = 4;  // So that ends are forgotten early.
  options.ledger.retention = milliseconds(40);
  options.shares.classes = {{"flood-watch", 1}, {"bulk", 2}};
  return options;
}

// What an onlooker saw of one attempt.
struct Seen {
  int arrivals = 0;
  int starts = 0;
  int answers = 0;
  bool said_not_run = false;
};

template <typename Admission>
class Onlooker {
 public:
  explicit Onlooker(const AdmissionOptions& options = Options())
      : admission_(options) {}

  std::set<std::string> Watch(const std::vector<Event>& events) {
    for (const Event& event : events)
      Do(event);
    admission_.StopDrain();
    Do({Deed::kTick, 0, 1000});
    while (!running_.empty())
      End(*running_.begin(), ServerResult::kAnswered);
    for (const auto& [id, seen] : seen_)
      Expect(seen.answers == seen.arrivals, "one final answer for an arrival");
    Expect(admission_.IsEmpty(), "empty at the end");
    return violations_;
  }

 private:
  void Do(const Event& event) {
    now_ += milliseconds(event.pause_ms);
    const AttemptId id{1, static_cast<uint64_t>(event.attempt) + 1};
    switch (event.deed) {
      case Deed::kArrive:
        ++seen_[id].arrivals;
        See(admission_.Arrive(
            {id, event.attempt % 3 ? "a" : "b",
             event.attempt % 2 ? "bulk" : "flood-watch",
             now_ + milliseconds(event.attempt < 8 ? 30 : 900)},
            now_));
        break;
      case Deed::kFinish:
      case Deed::kShed:
        if (running_.contains(id))
          End(id, event.deed == Deed::kShed ? ServerResult::kShed
                                            : ServerResult::kAnswered);
        break;
      case Deed::kCancel:
        Cancel(id);
        break;
      case Deed::kTick:
        See(admission_.Tick(now_));
        break;
      case Deed::kDrain:
        draining_ = true;
        See(admission_.StartDrain(now_));
        break;
      case Deed::kUndrain:
        draining_ = false;
        admission_.StopDrain();
        break;
      case Deed::kRestart:
        admission_.OnServerStarted(now_);
        break;
    }
    Expect(admission_.Load(now_).in_flight <= kSlots, "slots not exceeded");
    Expect(admission_.Load(now_).queued <= kQueue, "queue not exceeded");
  }

  void Cancel(const AttemptId& id) {
    const AttemptState before = admission_.Cancel(id, now_);
    if (before == AttemptState::kQueued)
      ++seen_[id].answers;
    if (before == AttemptState::kQueued || before == AttemptState::kNeverRuns)
      SayNotRun(id);
  }

  void End(AttemptId id, ServerResult result) {
    running_.erase(id);
    ++seen_[id].answers;
    if (result == ServerResult::kShed) {
      --seen_[id].starts;  // The server says that it did not run.
      SayNotRun(id);
    }
    See(admission_.Finish(id, now_, result));
  }

  void See(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      Seen& seen = seen_[action.attempt];
      if (action.kind == ActionKind::kStart) {
        ++seen.starts;
        running_.insert(action.attempt);
        Expect(seen.starts == 1, "at most once");
        Expect(!seen.said_not_run, "not run is true");
        Expect(!draining_, "no work after drain");
        continue;
      }
      ++seen.answers;
      if (base::AnswerTo(action.error).outcome == base::Outcome::kNotRun)
        SayNotRun(action.attempt);
    }
  }

  void SayNotRun(const AttemptId& id) {
    seen_[id].said_not_run = true;
    Expect(seen_[id].starts == 0, "not run is true");
  }

  void Expect(bool holds, const std::string& property) {
    if (!holds)
      violations_.insert(property);
  }

  Admission admission_;
  Instant now_{std::chrono::hours(1)};
  bool draining_ = false;
  std::map<AttemptId, Seen> seen_;
  std::set<AttemptId> running_;
  std::set<std::string> violations_;
};

// Broken variants, each for the property that it must fail.
struct RunsAgain : AdmissionController {
  using AdmissionController::AdmissionController;
  AdmissionActions Arrive(Arrival arrival, Instant now) {
    const AttemptId said = arrival.attempt;
    arrival.attempt.origin = ++lives;
    auto actions = AdmissionController::Arrive(arrival, now);
    for (auto& action : actions)
      action.attempt = said;
    return actions;
  }
  uint64_t lives = 1;
};

struct CancelsWithoutBar : AdmissionController {
  using AdmissionController::AdmissionController;
  AttemptState Cancel(const AttemptId& id, Instant now) {
    const AttemptState state = State(id);
    return state == AttemptState::kUnknown
               ? AttemptState::kNeverRuns
               : AdmissionController::Cancel(id, now);
  }
};

struct SaysNotRunOfRunning : AdmissionController {
  using AdmissionController::AdmissionController;
  AttemptState Cancel(const AttemptId& id, Instant now) {
    AdmissionController::Cancel(id, now);
    return AttemptState::kNeverRuns;
  }
};

struct OneSlotMore : AdmissionController {
  explicit OneSlotMore(AdmissionOptions options)
      : AdmissionController((++options.slots, options)) {}
};

struct LongerQueue : AdmissionController {
  explicit LongerQueue(AdmissionOptions options)
      : AdmissionController((++options.queue, options)) {}
};

struct IgnoresDrain : AdmissionController {
  using AdmissionController::AdmissionController;
  AdmissionActions StartDrain(Instant) { return {}; }
};

struct ForgetsToAnswer : AdmissionController {
  using AdmissionController::AdmissionController;
  AdmissionActions Tick(Instant now) {
    auto actions = AdmissionController::Tick(now);
    std::erase_if(actions, [](const AdmissionAction& action) {
      return action.kind == ActionKind::kRefuse;
    });
    return actions;
  }
};

template <typename Admission>
bool IsCaught(const std::string& property) {
  base::Random random(7);
  const auto draw = [&random](int end) {
    return static_cast<int>(random() % end);
  };
  for (int story = 0; story < 300; ++story) {
    std::vector<Event> events(60);
    for (Event& event : events)
      event = {kDeeds[draw(kDeedCount)], draw(kAttempts), draw(20)};
    if (Onlooker<Admission>().Watch(events).contains(property))
      return true;
  }
  return false;
}

TEST_CASE("admission keeps its promises in any order of events") {
  rc::prop("no violation", [] {
    const auto raw =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, kDeedCount),
                           rc::gen::inRange(0, kAttempts),
                           rc::gen::inRange(0, 20)));
    std::vector<Event> events;
    for (const auto& [deed, attempt, pause] : raw)
      events.push_back({kDeeds[deed], attempt, pause});
    RC_ASSERT(Onlooker<AdmissionController>().Watch(events).empty());
  });

  SECTION("and a broken variant of each promise is noticed") {
    CHECK(IsCaught<RunsAgain>("at most once"));
    CHECK(IsCaught<CancelsWithoutBar>("not run is true"));
    CHECK(IsCaught<SaysNotRunOfRunning>("not run is true"));
    CHECK(IsCaught<OneSlotMore>("slots not exceeded"));
    CHECK(IsCaught<LongerQueue>("queue not exceeded"));
    CHECK(IsCaught<IgnoresDrain>("no work after drain"));
    CHECK(IsCaught<ForgetsToAnswer>("one final answer for an arrival"));
    CHECK_FALSE(IsCaught<AdmissionController>("at most once"));
  }
}

}  // namespace
}  // namespace chestnutport::admission
