// Guards against requests that fail because a call they make meets an overload
// at another service. Simulates the gates of that service with the admission
// decisions of the product.
//
// For 20 s the called service gets a tenth more load than its capacity. Three
// quarters of the load are calls of 30 ms with a target of 120 ms, made by
// requests with a target of 500 ms that have done half of their work, 60 ms of
// 120 ms. Time is virtual and the random numbers are seeded.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

#include "admission/admission_controller.h"
#include "base/random.h"
#include "calls/nested_target.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr Seconds kLength(20);
constexpr int kSlots = 4;
constexpr milliseconds kWork(30);          // Mean service time of a call.
constexpr milliseconds kOwnTarget(120);    // Of a call.
constexpr milliseconds kOuterTarget(500);  // Of a request that makes a call.
constexpr milliseconds kOuterDeadline(1200);
constexpr milliseconds kOuterHalf(60);  // Its work before and after the call.
constexpr milliseconds kOtherTarget(250);
constexpr milliseconds kOtherWork(95);
constexpr double kCallsPerSecond = 110;
constexpr double kOthersPerSecond = 12;

struct Outcome {
  double in_time = 0;  // Share of the requests that made a call.
  double failed = 0;
  double others = 0;  // Share of the other requests in time.
};

class Simulation {
 public:
  explicit Simulation(bool is_nested)
      : is_nested_(is_nested), gate_(Options()) {
    GenerateCall();
    GenerateOther();
  }

  Outcome Run() {
    while (!events_.empty()) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return {in_time_ / calls_, failed_ / calls_, others_in_time_ / others_};
  }

 private:
  struct Request {
    bool is_call = false;
    Instant began;
  };

  static AdmissionOptions Options() {
    AdmissionOptions options;
    options.slots = kSlots;
    options.adaptive = false;
    return options;
  }

  void After(Duration delay, std::function<void()> what) {
    events_.emplace(now_ + delay, std::move(what));
  }

  Duration Gap(double per_second) {
    const Seconds gap(
        std::exponential_distribution<double>(per_second)(random_));
    return std::chrono::duration_cast<Duration>(gap);
  }

  bool IsOver() const {
    return now_ > kStart + std::chrono::duration_cast<Duration>(kLength);
  }

  // A request that has done half of its work makes its call.
  void GenerateCall() {
    if (IsOver())
      return;
    calls_ += 1;
    const Duration left = kOuterDeadline - kOuterHalf;
    const Duration target =
        is_nested_ ? calls::NestedTarget(kOwnTarget, left) : kOwnTarget;
    Arrive({true, now_ - kOuterHalf}, left, target);
    After(Gap(kCallsPerSecond), [this] { GenerateCall(); });
  }

  void GenerateOther() {
    if (IsOver())
      return;
    others_ += 1;
    Arrive({false, now_}, 6 * kOtherTarget, kOtherTarget);
    After(Gap(kOthersPerSecond), [this] { GenerateOther(); });
  }

  void Arrive(const Request& request, Duration remaining, Duration target) {
    const base::AttemptId id{1, ++last_};
    requests_[id] = request;
    Perform(gate_.Arrive({id, "", request.is_call ? "urgent" : "other",
                          now_ + remaining, now_ + target},
                         now_));
  }

  void Perform(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      const Request request = requests_.extract(action.attempt).mapped();
      if (action.kind == ActionKind::kRefuse) {
        failed_ += request.is_call ? 1 : 0;
        continue;
      }
      const Duration work = request.is_call ? kWork : kOtherWork;
      After(work, [this, request, id = action.attempt] {
        OnServed(request);
        Perform(gate_.Finish(id, now_));
      });
    }
  }

  void OnServed(const Request& request) {
    if (request.is_call)
      in_time_ += now_ + kOuterHalf - request.began <= kOuterTarget ? 1 : 0;
    else
      others_in_time_ += now_ - request.began <= kOtherTarget ? 1 : 0;
  }

  bool is_nested_;
  Instant now_ = kStart;
  base::Random random_{20261204};
  AdmissionController gate_;
  uint64_t last_ = 0;
  std::multimap<Instant, std::function<void()>> events_;
  std::map<base::AttemptId, Request> requests_;
  double calls_ = 0;
  double in_time_ = 0;
  double failed_ = 0;
  double others_ = 0;
  double others_in_time_ = 0;
};

TEST_CASE("requests whose call meets an overload at another service") {
  const Outcome own = Simulation(false).Run();
  const Outcome nested = Simulation(true).Run();
  INFO("own target: in time " << own.in_time << ", failed " << own.failed
                              << ", others in time " << own.others);
  INFO("nested target: in time " << nested.in_time << ", failed "
                                 << nested.failed << ", others in time "
                                 << nested.others);

  SECTION("fail less often if the call may use half of the remaining time") {
    CHECK(nested.failed < own.failed / 2);
    CHECK(nested.in_time > own.in_time);
  }
}

}  // namespace
}  // namespace chestnutport::admission
