// What becomes of one caller's request, event by event.
#include <algorithm>
#include <catch2/catch.hpp>

#include "call_fixture.h"

namespace chestnutport::test {
namespace {

using base::ErrorKind;
using base::Outcome;
using calls::AttemptStatus;
using calls::AttemptVerdict;
using calls::Call;
using calls::CallPolicy;
using calls::NextSteps;
using calls::Step;

const base::Instant kDeadline = kStart + std::chrono::seconds(2);
const calls::AttemptEnd kLost = {AttemptVerdict::kLost,
                                 ErrorKind::kConnectionLost};
const calls::AttemptEnd kBusy = {AttemptVerdict::kRefused,
                                 ErrorKind::kOverloaded};

Outcome OutcomeOf(const NextSteps& steps) {
  REQUIRE(steps[0].step == Step::kAnswerError);
  return base::AnswerTo(steps[0].error).outcome;
}

TEST_CASE("a request that may not be repeated") {
  Budgets budgets;
  Call call(CallPolicy{}, kStart, kDeadline, budgets.All());
  REQUIRE(StepsAre(call.Start(kStart), {Step::kSend}));

  SECTION("is relayed the server's answer, and nothing after it") {
    CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kAnswered}, kStart),
                   {Step::kRelayAnswer}));
    CHECK(call.OnAttemptEnd(0, kLost, kStart).empty());
    CHECK(call.OnTimer(kDeadline).empty());
  }

  SECTION("is relayed a failure as it is") {
    CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kFailed}, kStart),
                   {Step::kRelayAnswer}));
  }

  SECTION("is sent elsewhere where it is known not to have run") {
    const auto verdict =
        GENERATE(AttemptVerdict::kRefused, AttemptVerdict::kNotSent);
    const auto error = GENERATE(ErrorKind::kOverloaded, ErrorKind::kStaleTarget,
                                ErrorKind::kDraining);
    const calls::AttemptEnd end = {verdict, error};
    REQUIRE(StepsAre(call.OnAttemptEnd(0, end, kStart), {Step::kSend}));
    REQUIRE(StepsAre(call.OnAttemptEnd(1, end, kStart), {Step::kSend}));
    CHECK(OutcomeOf(call.OnAttemptEnd(2, end, kStart)) == Outcome::kNotRun);
  }

  SECTION("is asked about when its connection is lost") {
    REQUIRE(StepsAre(call.OnAttemptEnd(0, kLost, kStart), {Step::kCancel}));

    SECTION("and sent elsewhere once it is barred") {
      CHECK(StepsAre(
          call.OnStatusReply(0, AttemptStatus::kNeverRuns, true, kStart),
          {Step::kSend}));
    }
    SECTION("and unknown in every other case") {
      const auto answer =
          GENERATE(AttemptStatus::kQueued, AttemptStatus::kRunning,
                   AttemptStatus::kFinished, AttemptStatus::kUnknownHere,
                   AttemptStatus::kNoAnswer);
      CHECK(OutcomeOf(call.OnStatusReply(0, answer, true, kStart)) ==
            Outcome::kUnknown);
    }
    SECTION("and unknown if the deadline comes first") {
      CHECK(OutcomeOf(call.OnTimer(kDeadline)) == Outcome::kUnknown);
      CHECK(call.OnStatusReply(0, AttemptStatus::kNeverRuns, true, kDeadline)
                .empty());
    }
  }

  SECTION("is cancelled a little before its deadline") {
    const base::Instant give_up = kDeadline - milliseconds(20);
    CHECK(call.OnTimer(give_up - milliseconds(1)).size() <= 1);
    REQUIRE(StepsAre(call.OnTimer(give_up), {Step::kCancel}));
    CHECK(call.next_timer() == kDeadline);

    SECTION("and told not to have run if that is confirmed") {
      CHECK(OutcomeOf(call.OnStatusReply(0, AttemptStatus::kNeverRuns, true,
                                         give_up)) == Outcome::kNotRun);
    }
    SECTION("and still relayed an answer if it was running") {
      CHECK(call.OnStatusReply(0, AttemptStatus::kRunning, true, give_up)
                .empty());
      CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kAnswered}, give_up),
                     {Step::kRelayAnswer}));
    }
    SECTION("and told the truth at the deadline if nothing is heard") {
      CHECK(OutcomeOf(call.OnTimer(kDeadline)) == Outcome::kUnknown);
    }
  }

  SECTION("whose caller goes away is cancelled and not answered") {
    CHECK(StepsAre(call.OnCallerDisconnected(kStart), {Step::kAbandon}));
    CHECK(call.OnAttemptEnd(0, kBusy, kStart).empty());
  }
}

TEST_CASE("a silent attempt") {
  Budgets budgets;
  CallPolicy policy;
  policy.is_repeatable = GENERATE(false, true);
  policy.status_query_delay = milliseconds(50);
  Call call(policy, kStart, kDeadline, budgets.All());
  call.Start(kStart);
  const base::Instant silent = kStart + milliseconds(50);
  REQUIRE(call.next_timer() == silent);
  REQUIRE(StepsAre(call.OnTimer(silent), {Step::kQueryStatus}));

  SECTION("that never arrived is barred, then sent elsewhere") {
    REQUIRE(StepsAre(
        call.OnStatusReply(0, AttemptStatus::kUnknownHere, false, silent),
        {Step::kCancel}));
    CHECK(
        StepsAre(call.OnStatusReply(0, AttemptStatus::kNeverRuns, true, silent),
                 {Step::kCloseConnection, Step::kSend}));
  }
  SECTION("that runs is asked about again, at twice the interval") {
    CHECK(
        call.OnStatusReply(0, AttemptStatus::kRunning, false, silent).empty());
    CHECK(call.next_timer() == silent + milliseconds(100));
  }
  SECTION("that finished without an answer is lost") {
    CHECK(
        call.OnStatusReply(0, AttemptStatus::kFinished, false, silent).empty());
    const base::Instant later = call.next_timer();
    REQUIRE(StepsAre(call.OnTimer(later), {Step::kQueryStatus}));
    const auto steps =
        call.OnStatusReply(0, AttemptStatus::kFinished, false, later);
    if (policy.is_repeatable)
      CHECK(StepsAre(steps,
                     {Step::kCloseConnection, Step::kCancel, Step::kSend}));
    else
      CHECK(StepsAre(steps, {Step::kCloseConnection, Step::kCancel}));
  }
  SECTION("whose node cannot be asked is repeated if it may be") {
    const auto steps =
        call.OnStatusReply(0, AttemptStatus::kNoAnswer, false, silent);
    CHECK(steps.size() == (policy.is_repeatable ? 1 : 0));
    CHECK_FALSE(call.IsOver());
  }
}

TEST_CASE("a request that may be repeated") {
  Budgets budgets;
  CallPolicy policy = Repeatable();

  SECTION("whose first attempt may have run is never said not to have run") {
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    REQUIRE(StepsAre(call.OnAttemptEnd(0, kLost, kStart),
                     {Step::kCancel, Step::kSend}));
    CHECK(call.OnStatusReply(0, AttemptStatus::kRunning, true, kStart).empty());
    REQUIRE(StepsAre(call.OnAttemptEnd(1, kBusy, kStart), {Step::kSend}));
    CHECK(OutcomeOf(call.OnAttemptEnd(2, kBusy, kStart)) == Outcome::kUnknown);
  }

  SECTION("is hedged after the learned delay") {
    policy.hedge_delay = milliseconds(30);
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    const base::Instant due = kStart + milliseconds(30);
    REQUIRE(call.next_timer() == due);
    REQUIRE(StepsAre(call.OnTimer(due), {Step::kSend}));
    SECTION("the first answer wins and the other attempt is cancelled") {
      const int winner = GENERATE(0, 1);
      const auto steps =
          call.OnAttemptEnd(winner, {AttemptVerdict::kAnswered}, due);
      REQUIRE(StepsAre(steps, {Step::kRelayAnswer, Step::kAbandon}));
      CHECK(steps[0].attempt == winner);
      CHECK(steps[1].attempt == 1 - winner);
    }
    SECTION("a refused hedge leaves the first attempt alone") {
      CHECK(call.OnAttemptEnd(1, kBusy, due).empty());
    }
  }

  SECTION("is relayed the failure if there is nowhere else to send it") {
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    REQUIRE(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kFailed}, kStart),
                     {Step::kSend}));
    const auto steps = call.OnNoServer(1, kStart);
    REQUIRE(StepsAre(steps, {Step::kRelayAnswer}));
    CHECK(steps[0].attempt == 0);
  }

  SECTION("is not repeated where a level above repeats") {
    policy.is_retried_above = true;
    policy.hedge_delay = milliseconds(30);
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(call.OnTimer(kStart + milliseconds(30)).empty());
    CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kFailed}, kStart),
                   {Step::kRelayAnswer}));
  }

  SECTION("is not repeated beyond the budget") {
    for (int i = 0; i < 5; ++i)
      budgets.node.TryTake();
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(StepsAre(call.OnAttemptEnd(0, kLost, kStart), {Step::kCancel}));
  }
}

}  // namespace
}  // namespace chestnutport::test
