// Tests requests that nodes return before they reached a server, and refusals
// by servers that count towards the fleet's retry limit.
#include <algorithm>
#include <catch2/catch.hpp>

#include "call_fixture.h"

namespace chestnutport::test {
namespace {

using base::ErrorKind;
using calls::AttemptVerdict;
using calls::Call;
using calls::CallPolicy;
using calls::Step;

const base::Instant kDeadline = kStart + std::chrono::seconds(2);
const calls::AttemptEnd kReturned = {AttemptVerdict::kRefused,
                                     ErrorKind::kServerSlow};
const calls::AttemptEnd kShedByServer = {AttemptVerdict::kRefused,
                                         ErrorKind::kServerShed};

CallPolicy OneServerThreeMoves() {
  CallPolicy policy;
  policy.max_servers = 1;
  policy.max_sends = 4;
  policy.counts_server_refusals = true;
  return policy;
}

TEST_CASE("a request returned unrun moves on without using the retry budget") {
  Budgets budgets;
  budgets.service = calls::RetryBudget::Empty(0, 5);
  Call call(OneServerThreeMoves(), kStart, kDeadline, budgets.All());
  REQUIRE(StepsAre(call.Start(kStart), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(0, kReturned, kStart), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(1, kReturned, kStart), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(2, kReturned, kStart), {Step::kSend}));

  SECTION("until the maximum number of sends is reached") {
    const auto steps = call.OnAttemptEnd(3, kReturned, kStart);
    REQUIRE(StepsAre(steps, {Step::kAnswerError}));
    CHECK(steps[0].error == ErrorKind::kServerSlow);
  }
  SECTION("and gets the answer of the server that accepts it") {
    CHECK(StepsAre(call.OnAttemptEnd(3, {AttemptVerdict::kAnswered}, kStart),
                   {Step::kRelayAnswer}));
  }
}

TEST_CASE("a refusal by the server itself counts towards the server limit") {
  Budgets budgets;
  CallPolicy policy = OneServerThreeMoves();

  SECTION("with a limit of one, no other server is tried") {
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(StepsAre(call.OnAttemptEnd(0, kShedByServer, kStart),
                   {Step::kAnswerError}));
  }
  SECTION("with a limit of two, a second is tried if the budget allows it") {
    policy.max_servers = 2;
    const bool has_budget = GENERATE(true, false);
    if (!has_budget)
      budgets.service = calls::RetryBudget::Empty(0, 5);
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(StepsAre(call.OnAttemptEnd(0, kShedByServer, kStart),
                   {has_budget ? Step::kSend : Step::kAnswerError}));
  }
}

TEST_CASE("a hedge that is returned is sent to another server") {
  Budgets budgets;
  CallPolicy policy = OneServerThreeMoves();
  policy.is_repeatable = true;
  policy.max_servers = 2;
  policy.hedge_delay = milliseconds(100);
  Call call(policy, kStart, kDeadline, budgets.All());
  call.Start(kStart);
  const auto later = kStart + milliseconds(100);
  REQUIRE(StepsAre(call.OnTimer(later), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(1, kReturned, later), {Step::kSend}));

  SECTION("and the first answer is relayed, the other attempt abandoned") {
    const auto steps = call.OnAttemptEnd(2, {AttemptVerdict::kAnswered}, later);
    CHECK(StepsAre(steps, {Step::kRelayAnswer, Step::kAbandon}));
  }
}

}  // namespace
}  // namespace chestnutport::test
