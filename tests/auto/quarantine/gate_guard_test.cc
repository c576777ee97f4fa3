// Which requests a gate lets to its server, and which answer for its end.
#include "quarantine/quarantine_filter.h"

#include <catch2/catch.hpp>

namespace chestnutport::quarantine {
namespace {

using base::ErrorKind;
using base::Instant;
using base::RequestFingerprint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr RequestFingerprint kSuspect{1};
constexpr RequestFingerprint kHeld{2};
constexpr RequestFingerprint kOther{3};

SharedVerdicts SomeVerdicts() {
  auto verdicts = std::make_shared<Verdicts>();
  verdicts->Set(kSuspect, {Verdict::kSuspected, {}});
  verdicts->Set({4}, {Verdict::kSuspected, {}});
  verdicts->Set(kHeld, {Verdict::kQuarantined, kStart + seconds(60)});
  return verdicts;
}

TEST_CASE("a gate that knows verdicts") {
  QuarantineFilter guard;
  guard.SetVerdicts(SomeVerdicts(), 1, kStart);

  SECTION("lets others run") {
    CHECK_FALSE(guard.Judge({kOther}, kStart));
  }

  SECTION("refuses what is in quarantine, for as long as it is") {
    const auto refusal = guard.Judge({kHeld}, kStart + seconds(10));
    REQUIRE(refusal);
    CHECK(refusal->error == ErrorKind::kRequestQuarantined);
    CHECK(refusal->retry_after == seconds(50));
  }

  SECTION("lets one suspect run at a time") {
    CHECK_FALSE(guard.Judge({kSuspect}, kStart));
    guard.OnStarted({1, 1}, {kSuspect});
    CHECK(guard.Judge({{4}}, kStart)->error == ErrorKind::kRequestSuspected);
    CHECK(guard.Judge({kSuspect}, kStart));
    CHECK_FALSE(guard.Judge({kOther}, kStart));
    SECTION("until it has ended, whatever became of it") {
      guard.OnEnded({1, 1}, kSuspect, std::nullopt, kStart);
      CHECK_FALSE(guard.Judge({{4}}, kStart));
    }
  }

  SECTION("takes the word of the node that sent it for a suspect") {
    guard.OnStarted({1, 1}, {kOther, true});
    CHECK(guard.Judge({{4}}, kStart));
    CHECK(guard.Judge({{5}, true}, kStart));
  }

  SECTION("sees a suspect in what had started before the verdict") {
    QuarantineFilter earlier;
    earlier.OnStarted({1, 1}, {kSuspect});
    earlier.SetVerdicts(SomeVerdicts(), 1, kStart);
    CHECK(earlier.Judge({{4}}, kStart));
  }

  SECTION("speaks for what its server had answered when it became a suspect") {
    QuarantineFilter earlier;
    earlier.OnEnded({1, 1}, kSuspect, 1, kStart - seconds(5));
    const auto spoken_for = earlier.SetVerdicts(SomeVerdicts(), 1, kStart);
    CHECK(spoken_for == std::vector<RequestFingerprint>{kSuspect});
    CHECK(earlier.SetVerdicts(SomeVerdicts(), 2, kStart).empty());
  }

  SECTION("tells that a suspect was answered, and of no other") {
    CHECK(guard.OnEnded({1, 1}, kSuspect, 1, kStart));
    CHECK_FALSE(guard.OnEnded({1, 2}, kOther, 1, kStart));
    CHECK_FALSE(guard.OnEnded({1, 3}, kSuspect, std::nullopt, kStart));
  }
}

TEST_CASE("a server ends with what it ran") {
  QuarantineFilter guard;
  const std::vector<RunningRequest> running = {{kOther, milliseconds(90)},
                                               {kSuspect, milliseconds(20)},
                                               {kOther, milliseconds(40)},
                                               {{5}, milliseconds(50)}};

  SECTION("all answer for it, each once") {
    const auto blamed = guard.AttributeCrash({{9}, 1}, running, kStart).running;
    REQUIRE(blamed.size() == 3);
    CHECK(blamed[1].fingerprint == kOther);
    CHECK(blamed[1].run_time == milliseconds(40));
  }

  SECTION("but for what this life of the server had answered lately") {
    guard.OnEnded({1, 1}, kOther, 1, kStart - seconds(5));
    CHECK(guard.AttributeCrash({{9}, 1}, running, kStart).running.size() == 2);
    CHECK(guard.AttributeCrash({{9}, 2}, running, kStart).running.size() == 3);
    CHECK(guard.AttributeCrash({{9}, 1}, running, kStart + seconds(60))
              .running.size() == 3);
  }

  SECTION("a suspect before the others, whatever its age") {
    guard.SetVerdicts(SomeVerdicts(), 1, kStart);
    std::vector<RunningRequest> more = running;
    more.push_back({{6}, seconds(9), true});
    const auto blamed = guard.AttributeCrash({{9}, 1}, more, kStart).running;
    REQUIRE(blamed.size() == 4);
    CHECK(blamed[0].fingerprint == kSuspect);
    CHECK(blamed[0].is_suspect);
    CHECK(blamed[1].fingerprint.value == 6);
    CHECK_FALSE(blamed[2].is_suspect);
  }

  SECTION("the youngest of very many") {
    std::vector<RunningRequest> many;
    for (uint64_t i = 1; i <= 1000; ++i)
      many.push_back({{i}, milliseconds(i)});
    const auto blamed = guard.AttributeCrash({{9}, 1}, many, kStart).running;
    REQUIRE(blamed.size() == QuarantineFilter::kMaxAttributedRequests);
    CHECK(blamed.back().run_time ==
          milliseconds(QuarantineFilter::kMaxAttributedRequests));
  }
}

}  // namespace
}  // namespace chestnutport::quarantine
