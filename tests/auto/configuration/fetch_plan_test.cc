// Whom a node asks for a newer configuration, in virtual time.
#include "configuration/fetch_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace chestnutport::configuration {
namespace {

using membership::Member;
using std::chrono::milliseconds;

constexpr uint64_t kHeld = 1;
constexpr uint64_t kNew = 2;

std::vector<Member> MakeMembers(size_t count, base::Random& random) {
  std::vector<Member> members(count);
  for (Member& member : members)
    member.id = base::NodeId::Draw(random);
  return members;
}

// How long one node takes to get a revision that all others hold, if some of
// them are silent and not known to be: virtual time.
class SilentFleet {
 public:
  SilentFleet(size_t nodes, double silent_share, int seed) : random_(seed) {
    members_ = MakeMembers(nodes, random_);
    for (const Member& member : members_) {
      if (std::bernoulli_distribution(silent_share)(random_))
        silent_.insert(member.id);
    }
    plan_.SetMembers(Member(), members_);
  }

  // The rumour comes from `heard` nodes, the first of which went silent.
  base::Duration TimeToTake(size_t heard) {
    silent_.insert(members_[0].id);
    for (size_t i = 0; i < heard; ++i)
      plan_.OnRevisionReported(kNew, members_[i]);
    base::Duration passed{};
    while (passed < kGivenUp) {
      const auto* asked =
          plan_.SelectPeerWithNewer(kHeld, base::Instant() + passed, random_);
      if (asked && !silent_.contains(asked->id))
        return passed;
      passed += milliseconds(1);
    }
    return kGivenUp;
  }

 private:
  static constexpr base::Duration kGivenUp = std::chrono::seconds(2);

  base::Random random_;
  std::vector<Member> members_;
  std::set<base::NodeId> silent_;
  FetchScheduler plan_;
};

TEST_CASE("a node that is behind asks others beside a silent one") {
  base::Random random(1);
  const std::vector<Member> members = MakeMembers(8, random);
  const base::Instant start = base::Instant() + std::chrono::seconds(10);
  FetchScheduler plan;
  plan.SetMembers(Member(), members);
  const auto ask = [&](base::Duration at) {
    return plan.SelectPeerWithNewer(kHeld, start + at, random);
  };

  SECTION("nobody while nothing newer is known") {
    plan.OnRevisionReported(kHeld, members[0]);
    CHECK(ask({}) == nullptr);
  }
  SECTION("the one that told first, then others, one after the other") {
    plan.OnRevisionReported(kNew, members[0]);
    CHECK(ask({})->id == members[0].id);
    for (int asked = 1; asked < FetchScheduler::kMaxConcurrentFetches;
         ++asked) {
      const auto due = FetchScheduler::kFirstByteHedgeDelay * asked;
      CHECK(ask(due - milliseconds(1)) == nullptr);
      CHECK(plan.NextSelectionAt(kHeld) == start + due);
      REQUIRE(ask(due));
    }

    SECTION("and no more than are allowed at once") {
      CHECK(ask(std::chrono::hours(1)) == nullptr);
      CHECK(plan.NextSelectionAt(kHeld) == base::Instant::max());
    }
    SECTION("one more once one failed") {
      plan.OnFailed(members[0].id);
      plan.OnRevisionReported(kNew, members[1]);
      CHECK(ask(std::chrono::seconds(4)));
    }
  }
  SECTION("nobody else while an answer arrives") {
    plan.OnRevisionReported(kNew, members[0]);
    REQUIRE(ask({}));
    plan.OnTransferStarted(members[0].id, start + milliseconds(150));
    CHECK(ask(milliseconds(1149)) == nullptr);
    CHECK(ask(milliseconds(1150)));
  }
  SECTION("at once, whoever was asked before there was news") {
    REQUIRE(plan.SelectAnyPeer(start, random));
    plan.OnRevisionReported(kNew, members[0]);
    plan.OnRevisionReported(kNew, members[1]);
    CHECK(ask(milliseconds(1)));
  }
  SECTION("at once for the next revision, though a silent one is still asked") {
    plan.OnRevisionReported(kNew, members[0]);
    REQUIRE(ask({}));
    REQUIRE(ask(milliseconds(200)));
    plan.OnResponse(members[1].id, kNew, kNew, start + milliseconds(210));
    plan.OnRevisionReported(kNew + 1, members[2]);
    CHECK(plan.SelectPeerWithNewer(kNew, start + milliseconds(220), random));
  }
  SECTION("at once, if the one that told is being asked since before") {
    const base::NodeId asked = plan.SelectAnyPeer(start, random)->id;
    const auto teller = std::ranges::find(members, asked, &Member::id);
    plan.OnRevisionReported(kNew, *teller);
    const Member* next = ask(milliseconds(1));
    REQUIRE(next);
    CHECK(next->id != asked);

    SECTION("and its late answer of before does not undo what it told") {
      plan.OnResponse(asked, kHeld, kHeld, start + milliseconds(2));
      CHECK(plan.GreatestReportedRevision() == kNew);
    }
  }
  SECTION("nobody for what an answer has denied") {
    plan.OnRevisionReported(kNew, members[0]);
    REQUIRE(ask({}));
    plan.OnResponse(members[0].id, kHeld, kHeld, start);
    CHECK(ask(std::chrono::hours(1)) == nullptr);
  }
  SECTION("again in a while, if an answer lacked a part") {
    plan.OnRevisionReported(kNew, members[0]);
    REQUIRE(ask({}));
    plan.OnResponse(members[0].id, kNew, kHeld, start);
    CHECK(ask(milliseconds(199)) == nullptr);
    CHECK(ask(milliseconds(200)));
  }
  SECTION("another one at once, if one fails") {
    plan.OnRevisionReported(kNew, members[0]);
    plan.OnRevisionReported(kNew, members[1]);
    const base::NodeId first = ask({})->id;
    plan.OnFailed(first);
    CHECK(ask(milliseconds(1))->id != first);
  }
}

TEST_CASE("silent nodes delay a revision by less than the time it is given") {
  const size_t nodes = GENERATE(11, 295, 3000);
  std::vector<base::Duration> times;
  for (int seed = 1; seed <= 200; ++seed)
    times.push_back(SilentFleet(nodes, 0.1, seed).TimeToTake(1));
  std::ranges::sort(times);
  CHECK(times[times.size() / 2] == FetchScheduler::kFirstByteHedgeDelay);
  CHECK(times.back() <= FetchScheduler::kFirstByteHedgeDelay *
                            (FetchScheduler::kMaxConcurrentFetches - 1));
}

}  // namespace
}  // namespace chestnutport::configuration
