// A request that nodes hand back before a server saw it, and one whose servers
// count against the fleet's second attempts.
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
const calls::AttemptEnd kHandedBack = {AttemptVerdict::kRefused,
                                       ErrorKind::kServerSlow};
const calls::AttemptEnd kShed = {AttemptVerdict::kRefused,
                                 ErrorKind::kServerShed};

CallPolicy OneServerThreeMoves() {
  CallPolicy policy;
  policy.most_servers = 1;
  policy.most_sends = 4;
  policy.counts_server_refusals = true;
  return policy;
}

TEST_CASE("what is handed back unrun goes on, and costs no second attempt") {
  Budgets budgets;
  budgets.service = calls::RetryBudget::Empty(0, 5);
  Call call(OneServerThreeMoves(), kStart, kDeadline, budgets.All());
  REQUIRE(StepsAre(call.Start(kStart), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(0, kHandedBack, kStart), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(1, kHandedBack, kStart), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(2, kHandedBack, kStart), {Step::kSend}));

  SECTION("until all that it may be sent to have") {
    const auto steps = call.OnAttemptEnd(3, kHandedBack, kStart);
    REQUIRE(StepsAre(steps, {Step::kAnswerError}));
    CHECK(steps[0].error == ErrorKind::kServerSlow);
  }
  SECTION("and is relayed the answer in the end") {
    CHECK(StepsAre(call.OnAttemptEnd(3, {AttemptVerdict::kAnswered}, kStart),
                   {Step::kRelayAnswer}));
  }
}

TEST_CASE("a server's own refusal uses up one of the servers") {
  Budgets budgets;
  CallPolicy policy = OneServerThreeMoves();

  SECTION("of one: there is no other") {
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(StepsAre(call.OnAttemptEnd(0, kShed, kStart), {Step::kAnswerError}));
  }
  SECTION("of two: the second, if the fleet may spend one") {
    policy.most_servers = 2;
    const bool may = GENERATE(true, false);
    if (!may)
      budgets.service = calls::RetryBudget::Empty(0, 5);
    Call call(policy, kStart, kDeadline, budgets.All());
    call.Start(kStart);
    CHECK(StepsAre(call.OnAttemptEnd(0, kShed, kStart),
                   {may ? Step::kSend : Step::kAnswerError}));
  }
}

TEST_CASE("a hedge that is handed back looks for another server") {
  Budgets budgets;
  CallPolicy policy = OneServerThreeMoves();
  policy.is_repeatable = true;
  policy.most_servers = 2;
  policy.hedge_delay = milliseconds(100);
  Call call(policy, kStart, kDeadline, budgets.All());
  call.Start(kStart);
  const auto later = kStart + milliseconds(100);
  REQUIRE(StepsAre(call.OnTimer(later), {Step::kSend}));
  REQUIRE(StepsAre(call.OnAttemptEnd(1, kHandedBack, later), {Step::kSend}));

  SECTION("and the first to answer is relayed, the other is abandoned") {
    const auto steps = call.OnAttemptEnd(2, {AttemptVerdict::kAnswered}, later);
    CHECK(StepsAre(steps, {Step::kRelayAnswer, Step::kAbandon}));
  }
}

}  // namespace
}  // namespace chestnutport::test
