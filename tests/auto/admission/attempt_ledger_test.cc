// Guards against an attempt that runs twice, or runs after it was reported as
// never running, once its ledger record was dropped.
#include <catch2/catch.hpp>

#include "admission/admission_controller.h"

namespace chestnutport::admission {
namespace {

using base::AttemptId;
using base::ErrorKind;
using base::Instant;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

TEST_CASE("an attempt is remembered after its end") {
  AdmissionOptions options;
  options.ledger.max_finished = 100;
  AdmissionController admission(options);
  const auto arrive = [&](AttemptId id, Instant now) {
    return admission.Arrive({id, "", "", now + seconds(1)}, now).at(0);
  };
  REQUIRE(arrive({1, 5}, kStart).kind == ActionKind::kStart);

  SECTION("a cancellation reports that it is running") {
    CHECK(admission.Cancel({1, 5}, kStart) == AttemptState::kRunning);
  }

  SECTION("an attempt that the server shed never runs") {
    admission.Finish({1, 5}, kStart, ServerResult::kShed);
    CHECK(admission.Cancel({1, 5}, kStart) == AttemptState::kNeverRuns);
  }

  SECTION("it ends") {
    admission.Finish({1, 5}, kStart, ServerResult::kAnswered);
    CHECK(arrive({1, 5}, kStart).error == ErrorKind::kDuplicateAttempt);
    CHECK(admission.Cancel({1, 5}, kStart) == AttemptState::kFinished);

    SECTION("and its record is dropped after its retention") {
      const Instant later = kStart + minutes(3);
      admission.Tick(later);
      CHECK(admission.State({1, 5}) == AttemptState::kUnknown);
      CHECK(admission.Cancel({1, 5}, later) == AttemptState::kUnknown);
      CHECK(arrive({1, 5}, later).error == ErrorKind::kDuplicateAttempt);
      CHECK(arrive({1, 6}, later).kind == ActionKind::kStart);
      CHECK(arrive({2, 5}, later).kind == ActionKind::kStart);
    }

    SECTION("or earlier, after many refusals, and still does not run twice") {
      for (uint64_t i = 0; i < 500; ++i)
        admission.Arrive({{9, i + 1}, "", "", kStart}, kStart);
      CHECK(admission.Cancel({1, 5}, kStart) == AttemptState::kUnknown);
      CHECK(arrive({1, 5}, kStart).error == ErrorKind::kDuplicateAttempt);
    }
  }

  SECTION("a cancelled attempt never runs, a queried one may") {
    CHECK(admission.State({1, 7}) == AttemptState::kUnknown);
    CHECK(admission.Cancel({1, 7}, kStart) == AttemptState::kNeverRuns);
    CHECK(arrive({1, 7}, kStart).error == ErrorKind::kCancelled);
    admission.Tick(kStart + minutes(3));
    CHECK(arrive({1, 7}, kStart + minutes(3)).kind == ActionKind::kRefuse);
  }
}

TEST_CASE("the ledger's memory is bounded") {
  LedgerLimits limits;
  limits.max_finished = 1000;
  limits.origins = 50;
  AttemptLedger ledger(limits);
  for (uint64_t i = 0; i < 5000; ++i) {
    const AttemptId id{i % 100, i};
    if (ledger.IsNew(id, kStart))
      ledger.Set(id, AttemptState::kNeverRuns, kStart);
  }
  CHECK(ledger.records() <= 1000);
  CHECK(ledger.origins() == 50);
  CHECK_FALSE(ledger.IsNew({99, 1}, kStart));
  CHECK(ledger.IsNew({99, 1}, kStart + std::chrono::hours(25)));
}

}  // namespace
}  // namespace chestnutport::admission
