// Tests the state machine of a call event by event.
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
const calls::AttemptEnd kRefusedOverloaded = {AttemptVerdict::kRefused,
                                              ErrorKind::kOverloaded};

Outcome OutcomeOf(const NextSteps& steps) {
  REQUIRE(steps[0].step == Step::kAnswerError);
  return base::AnswerTo(steps[0].error).outcome;
}

TEST_CASE("a request that is not repeatable") {
  Budgets budgets;
  Call call(CallPolicy{}, kStart, kDeadline, budgets.All());
  REQUIRE(StepsAre(call.Start(kStart), {Step::kSend}));

  SECTION("gets the server's answer, and ignores later events") {
    CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kAnswered}, kStart),
                   {Step::kRelayAnswer}));
    CHECK(call.OnAttemptEnd(0, kLost, kStart).empty());
    CHECK(call.OnTimer(kDeadline).empty());
  }

  SECTION("gets the server's failure without a retry") {
    CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kFailed}, kStart),
                   {Step::kRelayAnswer}));
  }

  SECTION("is sent to another server if it is known not to have run") {
    const auto verdict =
        GENERATE(AttemptVerdict::kRefused, AttemptVerdict::kNotSent);
    const auto error = GENERATE(ErrorKind::kOverloaded, ErrorKind::kStaleTarget,
                                ErrorKind::kDraining);
    const calls::AttemptEnd end = {verdict, error};
    REQUIRE(StepsAre(call.OnAttemptEnd(0, end, kStart), {Step::kSend}));
    REQUIRE(StepsAre(call.OnAttemptEnd(1, end, kStart), {Step::kSend}));
    CHECK(OutcomeOf(call.OnAttemptEnd(2, end, kStart)) == Outcome::kNotRun);
  }

  SECTION("is cancelled when its connection is lost") {
    REQUIRE(StepsAre(call.OnAttemptEnd(0, kLost, kStart), {Step::kCancel}));

    SECTION("and sent to another server once the cancellation is confirmed") {
      CHECK(StepsAre(
          call.OnStatusReply(0, AttemptStatus::kNeverRuns, true, kStart),
          {Step::kSend}));
    }
    SECTION("and has an unknown outcome after any other reply") {
      const auto answer =
          GENERATE(AttemptStatus::kQueued, AttemptStatus::kRunning,
                   AttemptStatus::kFinished, AttemptStatus::kUnknownHere,
                   AttemptStatus::kNoAnswer);
      CHECK(OutcomeOf(call.OnStatusReply(0, answer, true, kStart)) ==
            Outcome::kUnknown);
    }
    SECTION("and has an unknown outcome if the deadline passes first") {
      CHECK(OutcomeOf(call.OnTimer(kDeadline)) == Outcome::kUnknown);
      CHECK(call.OnStatusReply(0, AttemptStatus::kNeverRuns, true, kDeadline)
                .empty());
    }
  }

  SECTION("is cancelled shortly before its deadline") {
    const base::Instant cancel_at = kDeadline - milliseconds(20);
    CHECK(call.OnTimer(cancel_at - milliseconds(1)).size() <= 1);
    REQUIRE(StepsAre(call.OnTimer(cancel_at), {Step::kCancel}));
    CHECK(call.next_timer() == kDeadline);

    SECTION("and reported as not run if the cancellation is confirmed") {
      CHECK(OutcomeOf(call.OnStatusReply(0, AttemptStatus::kNeverRuns, true,
                                         cancel_at)) == Outcome::kNotRun);
    }
    SECTION("and still gets the answer if it was running") {
      CHECK(call.OnStatusReply(0, AttemptStatus::kRunning, true, cancel_at)
                .empty());
      CHECK(
          StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kAnswered}, cancel_at),
                   {Step::kRelayAnswer}));
    }
    SECTION("and cancelled again if its caller disconnects") {
      CHECK(StepsAre(call.OnCallerDisconnected(cancel_at), {Step::kAbandon}));
    }
    SECTION("and has an unknown outcome at the deadline without a reply") {
      CHECK(OutcomeOf(call.OnTimer(kDeadline)) == Outcome::kUnknown);
    }
  }

  SECTION("whose connection is lost is cancelled again if its caller leaves") {
    REQUIRE(StepsAre(
        call.OnAttemptEnd(
            0, {AttemptVerdict::kLost, base::ErrorKind::kConnectionLost},
            kStart),
        {Step::kCancel}));
    CHECK(StepsAre(call.OnCallerDisconnected(kStart), {Step::kAbandon}));
  }

  SECTION("is cancelled and not answered if its caller disconnects") {
    CHECK(StepsAre(call.OnCallerDisconnected(kStart), {Step::kAbandon}));
    CHECK(call.OnAttemptEnd(0, kRefusedOverloaded, kStart).empty());
  }
}

TEST_CASE("an attempt that is not answered in time") {
  Budgets budgets;
  CallPolicy policy;
  policy.is_repeatable = GENERATE(false, true);
  policy.status_query_delay = milliseconds(50);
  Call call(policy, kStart, kDeadline, budgets.All());
  call.Start(kStart);
  const base::Instant silent = kStart + milliseconds(50);
  REQUIRE(call.next_timer() == silent);
  REQUIRE(StepsAre(call.OnTimer(silent), {Step::kQueryStatus}));

  SECTION("and never arrived is cancelled, then sent to another server") {
    REQUIRE(StepsAre(
        call.OnStatusReply(0, AttemptStatus::kUnknownHere, false, silent),
        {Step::kCancel}));
    CHECK(
        StepsAre(call.OnStatusReply(0, AttemptStatus::kNeverRuns, true, silent),
                 {Step::kCloseConnection, Step::kSend}));
  }
  SECTION("and is running is queried again after twice the interval") {
    CHECK(
        call.OnStatusReply(0, AttemptStatus::kRunning, false, silent).empty());
    CHECK(call.next_timer() == silent + milliseconds(100));
  }
  SECTION("and finished without an answer is treated as lost") {
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
  SECTION("and whose node does not reply is retried if repeatable") {
    const auto steps =
        call.OnStatusReply(0, AttemptStatus::kNoAnswer, false, silent);
    CHECK(steps.size() == (policy.is_repeatable ? 1 : 0));
    CHECK_FALSE(call.IsOver());
  }
}

TEST_CASE("a repeatable request") {
  Budgets budgets;
  CallPolicy policy = Repeatable();

  SECTION("is never reported as not run if an attempt may have run") {
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    REQUIRE(StepsAre(call.OnAttemptEnd(0, kLost, kStart),
                     {Step::kCancel, Step::kSend}));
    CHECK(call.OnStatusReply(0, AttemptStatus::kRunning, true, kStart).empty());
    REQUIRE(StepsAre(call.OnAttemptEnd(1, kRefusedOverloaded, kStart),
                     {Step::kSend}));
    CHECK(OutcomeOf(call.OnAttemptEnd(2, kRefusedOverloaded, kStart)) ==
          Outcome::kUnknown);
  }

  SECTION("is hedged after the hedge delay") {
    policy.hedge_delay = milliseconds(30);
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    const base::Instant due = kStart + milliseconds(30);
    REQUIRE(call.next_timer() == due);
    REQUIRE(StepsAre(call.OnTimer(due), {Step::kSend}));
    SECTION("the first answer is relayed and the other attempt cancelled") {
      const int winner = GENERATE(0, 1);
      const auto steps =
          call.OnAttemptEnd(winner, {AttemptVerdict::kAnswered}, due);
      REQUIRE(StepsAre(steps, {Step::kRelayAnswer, Step::kAbandon}));
      CHECK(steps[0].attempt == winner);
      CHECK(steps[1].attempt == 1 - winner);
    }
    SECTION("a refused hedge does not affect the first attempt") {
      CHECK(call.OnAttemptEnd(1, kRefusedOverloaded, due).empty());
    }
  }

  SECTION("gets the server's failure if there is no other server") {
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    REQUIRE(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kFailed}, kStart),
                     {Step::kSend}));
    const auto steps = call.OnNoServer(1, kStart);
    REQUIRE(StepsAre(steps, {Step::kRelayAnswer}));
    CHECK(steps[0].attempt == 0);
  }

  SECTION("is not retried or hedged if a level above retries") {
    policy.is_retried_above = true;
    policy.hedge_delay = milliseconds(30);
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(call.OnTimer(kStart + milliseconds(30)).empty());
    CHECK(StepsAre(call.OnAttemptEnd(0, {AttemptVerdict::kFailed}, kStart),
                   {Step::kRelayAnswer}));
  }

  SECTION("is not retried once the budget is used up") {
    for (int i = 0; i < 5; ++i)
      budgets.node.TryTake();
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(StepsAre(call.OnAttemptEnd(0, kLost, kStart), {Step::kCancel}));
  }
}

}  // namespace
}  // namespace chestnutport::test
