// Checks the invariants of admission on random sequences of events. Each
// invariant is shown to be checked by a faulty variant that violates it.
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

enum class EventKind {
  kArrive,
  kFinish,
  kShed,
  kCancel,
  kTick,
  kDrain,
  kUndrain,
  kRestart
};

// Arrivals are frequent enough to fill the queue.
constexpr EventKind kEventKinds[] = {
    EventKind::kArrive,  EventKind::kArrive, EventKind::kArrive,
    EventKind::kArrive,  EventKind::kArrive, EventKind::kArrive,
    EventKind::kFinish,  EventKind::kShed,   EventKind::kCancel,
    EventKind::kTick,    EventKind::kDrain,  EventKind::kUndrain,
    EventKind::kUndrain, EventKind::kRestart};
constexpr int kEventKindCount = std::size(kEventKinds);

struct Event {
  EventKind kind;
  int attempt;
  int pause_ms;
};

AdmissionOptions Options() {
  AdmissionOptions options;
  options.slots = kSlots;
  options.queue = kQueue;
  options.ledger.max_finished = 4;  // So that records are dropped early.
  options.ledger.retention = milliseconds(40);
  options.shares.classes = {{"flood-watch", 1}, {"bulk", 2}};
  return options;
}

// What was observed of one attempt.
struct AttemptRecord {
  int arrivals = 0;
  int starts = 0;
  int answers = 0;
  bool reported_not_run = false;
};

template <typename Admission>
class InvariantChecker {
 public:
  explicit InvariantChecker(const AdmissionOptions& options = Options())
      : admission_(options) {}

  std::set<std::string> Run(const std::vector<Event>& events) {
    for (const Event& event : events)
      Process(event);
    admission_.StopDrain();
    Process({EventKind::kTick, 0, 1000});
    while (!running_.empty())
      End(*running_.begin(), ServerResult::kAnswered);
    for (const auto& [id, record] : records_)
      Expect(record.answers == record.arrivals,
             "one final answer for an arrival");
    Expect(admission_.IsEmpty(), "empty at the end");
    return violations_;
  }

 private:
  void Process(const Event& event) {
    now_ += milliseconds(event.pause_ms);
    const AttemptId id{1, static_cast<uint64_t>(event.attempt) + 1};
    switch (event.kind) {
      case EventKind::kArrive:
        ++records_[id].arrivals;
        Apply(admission_.Arrive(
            {id, event.attempt % 3 ? "a" : "b",
             event.attempt % 2 ? "bulk" : "flood-watch",
             now_ + milliseconds(event.attempt < 8 ? 30 : 900)},
            now_));
        break;
      case EventKind::kFinish:
      case EventKind::kShed:
        if (running_.contains(id))
          End(id, event.kind == EventKind::kShed ? ServerResult::kShed
                                                 : ServerResult::kAnswered);
        break;
      case EventKind::kCancel:
        Cancel(id);
        break;
      case EventKind::kTick:
        Apply(admission_.Tick(now_));
        break;
      case EventKind::kDrain:
        draining_ = true;
        Apply(admission_.StartDrain(now_));
        break;
      case EventKind::kUndrain:
        draining_ = false;
        admission_.StopDrain();
        break;
      case EventKind::kRestart:
        admission_.OnServerStarted(now_);
        break;
    }
    Expect(admission_.Load(now_).in_flight <= kSlots, "slots not exceeded");
    Expect(admission_.Load(now_).queued <= kQueue, "queue not exceeded");
  }

  void Cancel(const AttemptId& id) {
    const AttemptState before = admission_.Cancel(id, now_);
    if (before == AttemptState::kQueued)
      ++records_[id].answers;
    if (before == AttemptState::kQueued || before == AttemptState::kNeverRuns)
      ReportNotRun(id);
  }

  void End(AttemptId id, ServerResult result) {
    running_.erase(id);
    ++records_[id].answers;
    if (result == ServerResult::kShed) {
      --records_[id].starts;  // The server reported that it did not run.
      ReportNotRun(id);
    }
    Apply(admission_.Finish(id, now_, result));
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      AttemptRecord& record = records_[action.attempt];
      if (action.kind == ActionKind::kStart) {
        ++record.starts;
        running_.insert(action.attempt);
        Expect(record.starts == 1, "at most once");
        Expect(!record.reported_not_run, "not run is true");
        Expect(!draining_, "no work after drain");
        continue;
      }
      ++record.answers;
      if (base::AnswerTo(action.error).outcome == base::Outcome::kNotRun)
        ReportNotRun(action.attempt);
    }
  }

  void ReportNotRun(const AttemptId& id) {
    records_[id].reported_not_run = true;
    Expect(records_[id].starts == 0, "not run is true");
  }

  void Expect(bool holds, const std::string& property) {
    if (!holds)
      violations_.insert(property);
  }

  Admission admission_;
  Instant now_{std::chrono::hours(1)};
  bool draining_ = false;
  std::map<AttemptId, AttemptRecord> records_;
  std::set<AttemptId> running_;
  std::set<std::string> violations_;
};

// Faulty variants, each of which violates one invariant.
struct RunsAttemptTwice : AdmissionController {
  using AdmissionController::AdmissionController;
  AdmissionActions Arrive(Arrival arrival, Instant now) {
    const AttemptId original_id = arrival.attempt;
    arrival.attempt.origin = ++last_origin;
    auto actions = AdmissionController::Arrive(arrival, now);
    for (auto& action : actions)
      action.attempt = original_id;
    return actions;
  }
  uint64_t last_origin = 1;
};

struct CancelsWithoutRecord : AdmissionController {
  using AdmissionController::AdmissionController;
  AttemptState Cancel(const AttemptId& id, Instant now) {
    const AttemptState state = State(id);
    return state == AttemptState::kUnknown
               ? AttemptState::kNeverRuns
               : AdmissionController::Cancel(id, now);
  }
};

struct ReportsRunningAsNotRun : AdmissionController {
  using AdmissionController::AdmissionController;
  AttemptState Cancel(const AttemptId& id, Instant now) {
    AdmissionController::Cancel(id, now);
    return AttemptState::kNeverRuns;
  }
};

struct ExceedsSlots : AdmissionController {
  explicit ExceedsSlots(AdmissionOptions options)
      : AdmissionController((++options.slots, options)) {}
};

struct ExceedsQueue : AdmissionController {
  explicit ExceedsQueue(AdmissionOptions options)
      : AdmissionController((++options.queue, options)) {}
};

struct IgnoresDrain : AdmissionController {
  using AdmissionController::AdmissionController;
  AdmissionActions StartDrain(Instant) { return {}; }
};

struct DropsRefusals : AdmissionController {
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
bool ViolatesProperty(const std::string& property) {
  base::Random random(7);
  const auto draw = [&random](int end) {
    return static_cast<int>(random() % end);
  };
  for (int sequence = 0; sequence < 300; ++sequence) {
    std::vector<Event> events(60);
    for (Event& event : events)
      event = {kEventKinds[draw(kEventKindCount)], draw(kAttempts), draw(20)};
    if (InvariantChecker<Admission>().Run(events).contains(property))
      return true;
  }
  return false;
}

TEST_CASE("admission invariants hold for any order of events") {
  rc::prop("no violation", [] {
    const auto raw =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, kEventKindCount),
                           rc::gen::inRange(0, kAttempts),
                           rc::gen::inRange(0, 20)));
    std::vector<Event> events;
    for (const auto& [kind, attempt, pause] : raw)
      events.push_back({kEventKinds[kind], attempt, pause});
    RC_ASSERT(InvariantChecker<AdmissionController>().Run(events).empty());
  });

  SECTION("a faulty variant violates each invariant") {
    CHECK(ViolatesProperty<RunsAttemptTwice>("at most once"));
    CHECK(ViolatesProperty<CancelsWithoutRecord>("not run is true"));
    CHECK(ViolatesProperty<ReportsRunningAsNotRun>("not run is true"));
    CHECK(ViolatesProperty<ExceedsSlots>("slots not exceeded"));
    CHECK(ViolatesProperty<ExceedsQueue>("queue not exceeded"));
    CHECK(ViolatesProperty<IgnoresDrain>("no work after drain"));
    CHECK(ViolatesProperty<DropsRefusals>("one final answer for an arrival"));
    CHECK_FALSE(ViolatesProperty<AdmissionController>("at most once"));
  }
}

}  // namespace
}  // namespace chestnutport::admission
