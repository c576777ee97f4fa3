// Tests the records of idempotency keys that a node owns.
#include "keys/key_record_store.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace chestnutport::test {
namespace {

using keys::ClaimVerdict;
using keys::KeyScope;

const base::Instant kNow = base::Instant(std::chrono::hours(1));
const KeyScope kScope = {"dossie", "firm-a", "k1"};

TEST_CASE("a key that has been used") {
  keys::KeyRecordLimits limits;
  limits.records = 2;
  limits.bytes = 1000;
  limits.max_answer_bytes = 100;
  keys::KeyRecordStore ledger(limits);
  REQUIRE(ledger.Begin(kScope, 1, kNow).verdict == ClaimVerdict::kRun);

  SECTION("is in use while its request runs") {
    CHECK(ledger.Begin(kScope, 1, kNow).verdict == ClaimVerdict::kInUse);
  }
  SECTION("is refused for another request") {
    CHECK(ledger.Begin(kScope, 2, kNow).verdict == ClaimVerdict::kMismatch);
  }
  SECTION("is independent of the same key of another tenant or service") {
    for (const KeyScope& other : {KeyScope{"dossie", "firm-b", "k1"},
                                  KeyScope{"laudo", "firm-a", "k1"}}) {
      CHECK(ledger.Begin(other, 1, kNow).verdict == ClaimVerdict::kRun);
      ledger.OnNotRun(other);
    }
  }
  SECTION("is free again if its request did not run") {
    ledger.OnNotRun(kScope);
    CHECK(ledger.Begin(kScope, 1, kNow).verdict == ClaimVerdict::kRun);
  }
  SECTION("stays uncertain if its request may have run") {
    ledger.OnUncertain(kScope, kNow);
    CHECK(ledger.Begin(kScope, 1, kNow).verdict == ClaimVerdict::kUncertain);
  }
  SECTION("is answered from its record until that expires") {
    ledger.OnAnswer(kScope, {.status = 201, .body = "done"}, kNow);
    const auto claim = ledger.Begin(kScope, 1, kNow + limits.retention);
    REQUIRE(claim.verdict == ClaimVerdict::kAnswered);
    CHECK(claim.answer->status == 201);
    CHECK(claim.answer->body == "done");
    ledger.Expire(kNow + limits.retention + std::chrono::seconds(1));
    CHECK(ledger.records() == 0);
    CHECK(ledger.bytes() == 0);
  }
  SECTION("is reported as answered if the answer is too large to store") {
    ledger.OnAnswer(kScope, {.body = std::string(101, 'x')}, kNow);
    CHECK(ledger.Begin(kScope, 1, kNow).verdict ==
          ClaimVerdict::kAnsweredBefore);
    CHECK(ledger.bytes() == 0);
  }
  SECTION("is never evicted to make room") {
    REQUIRE(ledger.Begin({"dossie", "", "k2"}, 1, kNow).verdict ==
            ClaimVerdict::kRun);
    CHECK(ledger.Begin({"dossie", "", "k3"}, 1, kNow).verdict ==
          ClaimVerdict::kFull);
  }
}

}  // namespace
}  // namespace chestnutport::test
