// Guards against an acknowledged leave that is lost with all nodes.
#include <catch2/catch.hpp>

#include "support/hosted_pair.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUnavailable = 503;
constexpr int kBorn = 1000;
constexpr milliseconds kGap(700);  // Between two late announcements.
constexpr seconds kObserved(3);
constexpr int kAnnouncements = 5;

void Wait(milliseconds time) {
  WaitUntil([] { return false; }, time);
}

void Leave(HostedPair& pair, bool deregisters) {
  if (deregisters)
    pair.Deregister();
  else
    pair.Announce("draining");
}

// Announces the server as often as servers do. Returns whether it got requests.
bool AnnounceUntilUsed(HostedPair& pair) {
  const size_t before = pair.Arrivals().size();
  for (int i = 0; i < kAnnouncements; ++i) {
    pair.Announce();
    Wait(kGap);
  }
  return pair.Arrivals().size() > before;
}

TEST_CASE("a server leaves and all nodes are killed and started again") {
  HostedPair pair("lost-nodes", kBorn, true);
  const bool deregisters = GENERATE(true, false);
  const bool is_well = GENERATE(true, false);
  const int late_announcements = GENERATE(0, 1, 2);
  Leave(pair, deregisters);
  pair.State({}, is_well ? 200 : kUnavailable);
  pair.RestartAllNodes();
  const size_t before = pair.Arrivals().size();
  pair.SendCalls();
  INFO("deregisters " << deregisters << ", well " << is_well << ", late "
                      << late_announcements);
  for (int i = 0; i < late_announcements; ++i) {
    Wait(kGap);
    pair.Announce();
  }
  Wait(kObserved);
  CHECK(pair.Arrivals().size() == before);

  pair.State({}, 200);
  pair.RestartServer("i-2", 2 * kBorn);
  CHECK(AnnounceUntilUsed(pair));
  pair.StopCalls();
}

TEST_CASE("a server that has not left is used again") {
  HostedPair pair("kept-server", kBorn, true);
  SECTION("after all nodes were killed") {
    pair.RestartAllNodes();
    pair.SendCalls();
    CHECK(AnnounceUntilUsed(pair));
  }
  SECTION("after its node was killed while the store was away") {
    pair.StartCalls();
    pair.FailStore(kUnavailable);
    pair.RestartServerNode();
    CHECK(AnnounceUntilUsed(pair));
  }
  pair.StopCalls();
}

TEST_CASE("the store is away when a server leaves") {
  HostedPair pair("store-away", kBorn, true);
  pair.StartCalls();
  pair.FailStore(kUnavailable);
  CHECK_FALSE(pair.TryDeregister());

  SECTION("it gets no requests all the same") {
    Wait(HostedPair::kWork + kGap);
    const size_t before = pair.Arrivals().size();
    Wait(kObserved);
    CHECK(pair.Arrivals().size() == before);
  }
  SECTION("its leave is acknowledged once the store is back") {
    pair.FailStore(0);
    CHECK(WaitUntil([&] { return pair.TryDeregister(); }, seconds(10)));
  }
  pair.StopCalls();
}

}  // namespace
}  // namespace chestnutport::test
