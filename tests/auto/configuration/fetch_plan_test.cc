// Selection of the peers from which a newer configuration is fetched, in
// virtual time. Guards against unresponsive peers delaying a revision.
#include "configuration/fetch_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace chestnutport::configuration {
namespace {

using membership::Member;
using std::chrono::milliseconds;

constexpr uint64_t kLocal = 1;
constexpr uint64_t kNew = 2;

std::vector<Member> MakeMembers(size_t count, base::Random& random) {
  std::vector<Member> members(count);
  for (Member& member : members)
    member.id = base::NodeId::Draw(random);
  return members;
}

// Measures in virtual time how long one node takes to fetch a revision that all
// peers hold, if some of them are unresponsive and have not been removed from
// the members yet.
class UnresponsiveFleet {
 public:
  UnresponsiveFleet(size_t nodes, double unresponsive_share, int seed)
      : random_(seed) {
    members_ = MakeMembers(nodes, random_);
    for (const Member& member : members_) {
      if (std::bernoulli_distribution(unresponsive_share)(random_))
        unresponsive_.insert(member.id);
    }
    scheduler_.SetMembers(Member(), members_);
  }

  // The revision is reported by `reporters` peers, the first of which became
  // unresponsive.
  base::Duration MeasureFetchTime(size_t reporters) {
    unresponsive_.insert(members_[0].id);
    for (size_t i = 0; i < reporters; ++i)
      scheduler_.OnRevisionReported(kNew, members_[i]);
    base::Duration passed{};
    while (passed < kTimeout) {
      const auto* peer = scheduler_.SelectPeerWithNewer(
          kLocal, base::Instant() + passed, random_);
      if (peer && !unresponsive_.contains(peer->id))
        return passed;
      passed += milliseconds(1);
    }
    return kTimeout;
  }

 private:
  static constexpr base::Duration kTimeout = std::chrono::seconds(2);

  base::Random random_;
  std::vector<Member> members_;
  std::set<base::NodeId> unresponsive_;
  FetchScheduler scheduler_;
};

TEST_CASE(
    "a node that lacks a revision tries peers in parallel with an unresponsive "
    "one") {
  base::Random random(1);
  const std::vector<Member> members = MakeMembers(8, random);
  const base::Instant start = base::Instant() + std::chrono::seconds(10);
  FetchScheduler scheduler;
  scheduler.SetMembers(Member(), members);
  const auto select = [&](base::Duration at) {
    return scheduler.SelectPeerWithNewer(kLocal, start + at, random);
  };

  SECTION("none while no newer revision is known") {
    scheduler.OnRevisionReported(kLocal, members[0]);
    CHECK(select({}) == nullptr);
  }
  SECTION("first the reporting peer, then others at intervals") {
    scheduler.OnRevisionReported(kNew, members[0]);
    CHECK(select({})->id == members[0].id);
    for (int peer = 1; peer < FetchScheduler::kMaxConcurrentFetches; ++peer) {
      const auto due = FetchScheduler::kFirstByteHedgeDelay * peer;
      CHECK(select(due - milliseconds(1)) == nullptr);
      CHECK(scheduler.NextSelectionAt(kLocal) == start + due);
      REQUIRE(select(due));
    }

    SECTION("up to the limit of concurrent fetches") {
      CHECK(select(std::chrono::hours(1)) == nullptr);
      CHECK(scheduler.NextSelectionAt(kLocal) == base::Instant::max());
    }
    SECTION("one more after one has failed") {
      scheduler.OnFailed(members[0].id);
      scheduler.OnRevisionReported(kNew, members[1]);
      CHECK(select(std::chrono::seconds(4)));
    }
  }
  SECTION("none during a transfer, until the transfer takes too long") {
    scheduler.OnRevisionReported(kNew, members[0]);
    REQUIRE(select({}));
    scheduler.OnTransferStarted(members[0].id, start + milliseconds(150));
    CHECK(select(milliseconds(1149)) == nullptr);
    CHECK(select(milliseconds(1150)));
  }
  SECTION(
      "immediately, even if a fetch was pending before the revision was "
      "reported") {
    REQUIRE(scheduler.SelectAnyPeer(start, random));
    scheduler.OnRevisionReported(kNew, members[0]);
    scheduler.OnRevisionReported(kNew, members[1]);
    CHECK(select(milliseconds(1)));
  }
  SECTION(
      "immediately for the next revision, despite a pending fetch of this "
      "one") {
    scheduler.OnRevisionReported(kNew, members[0]);
    REQUIRE(select({}));
    REQUIRE(select(milliseconds(200)));
    scheduler.OnResponse(members[1].id, kNew, kNew, start + milliseconds(210));
    scheduler.OnRevisionReported(kNew + 1, members[2]);
    CHECK(
        scheduler.SelectPeerWithNewer(kNew, start + milliseconds(220), random));
  }
  SECTION(
      "immediately, if a fetch from the reporting peer was already pending") {
    const base::NodeId peer = scheduler.SelectAnyPeer(start, random)->id;
    const auto reporter = std::ranges::find(members, peer, &Member::id);
    scheduler.OnRevisionReported(kNew, *reporter);
    const Member* next = select(milliseconds(1));
    REQUIRE(next);
    CHECK(next->id != peer);

    SECTION("whose outdated response does not replace the reported revision") {
      scheduler.OnResponse(peer, kLocal, kLocal, start + milliseconds(2));
      CHECK(scheduler.GreatestReportedRevision() == kNew);
    }
  }
  SECTION(
      "none, if the response shows that the peer does not hold the revision") {
    scheduler.OnRevisionReported(kNew, members[0]);
    REQUIRE(select({}));
    scheduler.OnResponse(members[0].id, kLocal, kLocal, start);
    CHECK(select(std::chrono::hours(1)) == nullptr);
  }
  SECTION("the peer again after a delay, if its response was incomplete") {
    scheduler.OnRevisionReported(kNew, members[0]);
    REQUIRE(select({}));
    scheduler.OnResponse(members[0].id, kNew, kLocal, start);
    CHECK(select(milliseconds(199)) == nullptr);
    CHECK(select(milliseconds(200)));
  }
  SECTION("another peer immediately, if one fails") {
    scheduler.OnRevisionReported(kNew, members[0]);
    scheduler.OnRevisionReported(kNew, members[1]);
    const base::NodeId first = select({})->id;
    scheduler.OnFailed(first);
    CHECK(select(milliseconds(1))->id != first);
  }
}

TEST_CASE("the delay by unresponsive peers is bounded") {
  const size_t nodes = GENERATE(11, 295, 3000);
  std::vector<base::Duration> times;
  for (int seed = 1; seed <= 200; ++seed)
    times.push_back(UnresponsiveFleet(nodes, 0.1, seed).MeasureFetchTime(1));
  std::ranges::sort(times);
  CHECK(times[times.size() / 2] == FetchScheduler::kFirstByteHedgeDelay);
  CHECK(times.back() <= FetchScheduler::kFirstByteHedgeDelay *
                            (FetchScheduler::kMaxConcurrentFetches - 1));
}

}  // namespace
}  // namespace chestnutport::configuration
