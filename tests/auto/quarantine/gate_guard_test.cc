// Which requests are admitted to a server, and which are held responsible for
// its crash.
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
constexpr RequestFingerprint kQuarantinedRequest{2};
constexpr RequestFingerprint kOther{3};

SharedVerdicts SomeVerdicts() {
  auto verdicts = std::make_shared<Verdicts>();
  verdicts->Set(kSuspect, {Verdict::kSuspected, {}});
  verdicts->Set({4}, {Verdict::kSuspected, {}});
  verdicts->Set(kQuarantinedRequest,
                {Verdict::kQuarantined, kStart + seconds(60)});
  return verdicts;
}

TEST_CASE("requests are filtered by verdict") {
  QuarantineFilter filter;
  filter.SetVerdicts(SomeVerdicts(), 1, kStart);

  SECTION("a request without a verdict is admitted") {
    CHECK_FALSE(filter.FindRejection({kOther}, kStart));
  }

  SECTION("a quarantined request is rejected until its quarantine ends") {
    const auto rejection =
        filter.FindRejection({kQuarantinedRequest}, kStart + seconds(10));
    REQUIRE(rejection);
    CHECK(rejection->error == ErrorKind::kRequestQuarantined);
    CHECK(rejection->retry_after == seconds(50));
  }

  SECTION("one suspect runs at a time") {
    CHECK_FALSE(filter.FindRejection({kSuspect}, kStart));
    filter.OnStarted({1, 1}, {kSuspect});
    CHECK(filter.FindRejection({{4}}, kStart)->error ==
          ErrorKind::kRequestSuspected);
    CHECK(filter.FindRejection({kSuspect}, kStart));
    CHECK_FALSE(filter.FindRejection({kOther}, kStart));
    SECTION("and the next one once its attempt is over, answered or not") {
      filter.OnEnded({1, 1}, kSuspect, std::nullopt, kStart);
      CHECK_FALSE(filter.FindRejection({{4}}, kStart));
    }
  }

  SECTION("a request that the sending node marks as a suspect is one") {
    filter.OnStarted({1, 1}, {kOther, true});
    CHECK(filter.FindRejection({{4}}, kStart));
    CHECK(filter.FindRejection({{5}, true}, kStart));
  }

  SECTION("a request that started before its verdict is a suspect") {
    QuarantineFilter earlier;
    earlier.OnStarted({1, 1}, {kSuspect});
    earlier.SetVerdicts(SomeVerdicts(), 1, kStart);
    CHECK(earlier.FindRejection({{4}}, kStart));
  }

  SECTION("a new suspect that the server had answered is reported") {
    QuarantineFilter earlier;
    earlier.OnEnded({1, 1}, kSuspect, 1, kStart - seconds(5));
    const auto answered = earlier.SetVerdicts(SomeVerdicts(), 1, kStart);
    CHECK(answered == std::vector<RequestFingerprint>{kSuspect});
    CHECK(earlier.SetVerdicts(SomeVerdicts(), 2, kStart).empty());
  }

  SECTION("only answers to suspects are reported") {
    CHECK(filter.OnEnded({1, 1}, kSuspect, 1, kStart));
    CHECK_FALSE(filter.OnEnded({1, 2}, kOther, 1, kStart));
    CHECK_FALSE(filter.OnEnded({1, 3}, kSuspect, std::nullopt, kStart));
  }
}

TEST_CASE("a crash is attributed to running requests") {
  QuarantineFilter filter;
  const std::vector<RunningRequest> running = {{kOther, milliseconds(90)},
                                               {kSuspect, milliseconds(20)},
                                               {kOther, milliseconds(40)},
                                               {{5}, milliseconds(50)}};

  SECTION("to all of them, each once") {
    const auto attributed =
        filter.AttributeCrash({{9}, 1}, running, kStart).running;
    REQUIRE(attributed.size() == 3);
    CHECK(attributed[1].fingerprint == kOther);
    CHECK(attributed[1].run_time == milliseconds(40));
  }

  SECTION("without those that the server recently answered in this life") {
    filter.OnEnded({1, 1}, kOther, 1, kStart - seconds(5));
    CHECK(filter.AttributeCrash({{9}, 1}, running, kStart).running.size() == 2);
    CHECK(filter.AttributeCrash({{9}, 2}, running, kStart).running.size() == 3);
    CHECK(filter.AttributeCrash({{9}, 1}, running, kStart + seconds(60))
              .running.size() == 3);
  }

  SECTION("with suspects first, whatever their run time") {
    filter.SetVerdicts(SomeVerdicts(), 1, kStart);
    std::vector<RunningRequest> more = running;
    more.push_back({{6}, seconds(9), true});
    const auto attributed =
        filter.AttributeCrash({{9}, 1}, more, kStart).running;
    REQUIRE(attributed.size() == 4);
    CHECK(attributed[0].fingerprint == kSuspect);
    CHECK(attributed[0].is_suspect);
    CHECK(attributed[1].fingerprint.value == 6);
    CHECK_FALSE(attributed[2].is_suspect);
  }

  SECTION("limited to those that started last") {
    std::vector<RunningRequest> many;
    for (uint64_t i = 1; i <= 1000; ++i)
      many.push_back({{i}, milliseconds(i)});
    const auto attributed =
        filter.AttributeCrash({{9}, 1}, many, kStart).running;
    REQUIRE(attributed.size() == QuarantineFilter::kMaxAttributedRequests);
    CHECK(attributed.back().run_time ==
          milliseconds(QuarantineFilter::kMaxAttributedRequests));
  }
}

}  // namespace
}  // namespace chestnutport::quarantine
