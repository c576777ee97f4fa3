// Attempts at the gate of one server: queueing, deadlines, fairness and
// draining, and requests that must not be sent late after the process was
// paused.
#include <catch2/catch.hpp>

#include "admission/admission_controller.h"
#include "admission/pause_detector.h"

namespace chestnutport::admission {
namespace {

using base::AttemptId;
using base::ErrorKind;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

TEST_CASE("a server at its limit") {
  AdmissionOptions options;
  options.slots = 2;
  options.queue = 2;
  AdmissionController admission(options);
  Instant now = kStart;
  uint64_t last = 0;
  const auto arrive = [&](base::Duration remaining, std::string tenant = "") {
    return admission.Arrive(
        {{1, ++last}, std::move(tenant), "", now + remaining}, now);
  };
  const auto finish = [&](uint64_t sequence) {
    return admission.Finish({1, sequence}, now, ServerResult::kAnswered);
  };
  // Ten requests of 100 ms set the service time estimate.
  for (int i = 0; i < 10; ++i) {
    REQUIRE(arrive(seconds(1)).at(0).kind == ActionKind::kStart);
    now += milliseconds(100);
    finish(last);
  }
  REQUIRE(arrive(seconds(9)).at(0).kind == ActionKind::kStart);
  REQUIRE(arrive(seconds(9)).at(0).kind == ActionKind::kStart);
  CHECK(admission.Load(now).expected_wait == milliseconds(50));

  SECTION("refuses at once what cannot be started in time") {
    const auto refused = arrive(milliseconds(40)).at(0);
    CHECK(refused.error == ErrorKind::kDeadlineTooClose);
    CHECK(refused.retry_after > base::Duration::zero());
    CHECK(admission.Cancel(refused.attempt, now) == AttemptState::kNeverRuns);
  }

  SECTION("expects a longer wait while nothing moves") {
    now += seconds(3);
    CHECK(admission.Load(now).expected_wait == seconds(3));
    CHECK(arrive(seconds(2)).at(0).error == ErrorKind::kDeadlineTooClose);
  }

  SECTION("queues further requests") {
    REQUIRE(arrive(milliseconds(200), "rush").empty());
    REQUIRE(arrive(seconds(9), "rush").empty());
    CHECK(admission.Load(now).queued == 2);

    SECTION("and starts the earliest deadline first") {
      const auto started = finish(11);
      REQUIRE(started.size() == 1);
      CHECK(started[0].attempt == AttemptId{1, 13});
    }

    SECTION("and refuses at once those whose deadline passes") {
      now += milliseconds(200);
      const auto expired = admission.Tick(now);
      REQUIRE(expired.size() == 1);
      CHECK(expired[0].error == ErrorKind::kDeadlineTooClose);
      CHECK(admission.State(expired[0].attempt) == AttemptState::kNeverRuns);
    }

    SECTION("and evicts a request of the busy tenant for another tenant") {
      const auto evicted = arrive(seconds(9), "quiet");
      REQUIRE(evicted.size() == 1);
      CHECK(evicted[0].error == ErrorKind::kOverloaded);
      CHECK(evicted[0].attempt == AttemptId{1, 14});
      CHECK(admission.State({1, 15}) == AttemptState::kQueued);
    }

    SECTION("and refuses them on a drain, while two running ones finish") {
      CHECK(admission.StartDrain(now).size() == 2);
      CHECK(arrive(seconds(9)).at(0).error == ErrorKind::kDraining);
      CHECK(finish(11).empty());
      CHECK_FALSE(admission.IsEmpty());
      CHECK(finish(12).empty());
      CHECK(admission.IsEmpty());
      admission.StopDrain();
      CHECK(arrive(seconds(9)).at(0).kind == ActionKind::kStart);
    }
  }

  SECTION("lowers the limit of a server that sheds") {
    admission.Finish({1, 12}, now, ServerResult::kShed);
    CHECK(admission.Load(now).limit == 1);
  }
}

TEST_CASE("a node that was paused sends nothing late") {
  AdmissionController admission({});
  PauseDetector detector(kStart);
  const AttemptId id{1, 1};

  SECTION("between the decision and the sending") {
    admission.Arrive({id, "", "", kStart + seconds(1)}, kStart);
    CHECK(admission.MaySend(id, kStart + milliseconds(999)));
    const Instant resumed = kStart + seconds(5);
    CHECK_FALSE(admission.MaySend(id, resumed));
    admission.Finish(id, resumed, ServerResult::kNotSent);
    CHECK(admission.Cancel(id, resumed) == AttemptState::kNeverRuns);
  }

  SECTION("while a request waited unread") {
    detector.Update(kStart + milliseconds(10));
    CHECK(detector.UnobservedDelay(kStart + milliseconds(10)) ==
          base::Duration::zero());
    const Instant resumed = kStart + seconds(5);
    detector.Update(resumed);
    const Instant deadline =
        resumed + seconds(2) - detector.UnobservedDelay(resumed);
    CHECK(admission.Arrive({id, "", "", deadline}, resumed).at(0).error ==
          ErrorKind::kDeadlineTooClose);
    CHECK(detector.UnobservedDelay(resumed + seconds(2)) ==
          base::Duration::zero());
  }
}

}  // namespace
}  // namespace chestnutport::admission
