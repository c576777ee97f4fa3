// Guards against stale messages of an ended incarnation that replace or remove
// the current one, and against a live server that is never accepted (again).
#include "server/server_incarnation_tracker.h"

#include <catch2/catch.hpp>

namespace chestnutport::server {
namespace {

using std::chrono::milliseconds;
using Verdict = ServerIncarnationTracker::Verdict;

constexpr milliseconds kFirstStart(1'000'000);
constexpr milliseconds kLaterStart(1'030'000);
constexpr milliseconds kEarlierStart(970'000);

ServerAnnouncement Announcement(const std::string& instance,
                                milliseconds started_at,
                                int64_t sequence) {
  ServerAnnouncement announcement;
  announcement.instance = instance;
  announcement.started_at = started_at;
  announcement.sequence = sequence;
  return announcement;
}

TEST_CASE("a server that has announced itself") {
  ServerIncarnationTracker tracker;
  const bool doubtful = GENERATE(false, true);
  REQUIRE(tracker.OnAnnounced(Announcement("a", kFirstStart, 7), true) ==
          Verdict::kNewIncarnation);

  SECTION("continues with increasing sequence numbers") {
    CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), doubtful) ==
          Verdict::kCurrentIncarnation);
    CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), false) ==
          Verdict::kStale);
  }

  SECTION("restarts under the same instance name and resets its sequence") {
    REQUIRE(tracker.OnAnnounced(Announcement("a", kLaterStart, 1), doubtful) ==
            Verdict::kNewIncarnation);
    CHECK(tracker.OnAnnounced(Announcement("a", kLaterStart, 2), false) ==
          Verdict::kCurrentIncarnation);

    SECTION("an announcement of the previous incarnation is stale") {
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 9), false) ==
            Verdict::kStale);
    }
    SECTION("deregistration of the previous incarnation has no effect") {
      CHECK_FALSE(tracker.OnLeft("a", kFirstStart));
      CHECK(tracker.OnAnnounced(Announcement("a", kLaterStart, 3), false) ==
            Verdict::kCurrentIncarnation);
    }
    SECTION("deregistration of the new incarnation ends it") {
      CHECK(tracker.OnLeft("a", kLaterStart));
      CHECK(tracker.OnAnnounced(Announcement("a", kLaterStart, 3), true) ==
            Verdict::kStale);
    }
  }

  SECTION("restarts after its clock was set back") {
    const auto announcement = Announcement("a", kEarlierStart, 1);
    SECTION("is accepted once the previous incarnation is overdue") {
      CHECK(tracker.OnAnnounced(announcement, true) ==
            Verdict::kNewIncarnation);
      CHECK(tracker.OnAnnounced(Announcement("a", kEarlierStart, 2), false) ==
            Verdict::kCurrentIncarnation);
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), false) ==
            Verdict::kStale);
    }
    SECTION("is stale while the previous incarnation is not overdue") {
      CHECK(tracker.OnAnnounced(announcement, false) == Verdict::kStale);
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), false) ==
            Verdict::kCurrentIncarnation);
    }
  }

  SECTION("replaces an earlier incarnation that was accepted by mistake") {
    REQUIRE(tracker.OnAnnounced(Announcement("a", kEarlierStart, 90), true) ==
            Verdict::kNewIncarnation);
    CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 9), true) ==
          Verdict::kNewIncarnation);
  }

  SECTION("is not replaced by a sender without a start time") {
    CHECK(tracker.OnAnnounced(Announcement("a", milliseconds(0), 50),
                              doubtful) == Verdict::kStale);
    CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), doubtful) ==
          Verdict::kCurrentIncarnation);
  }

  SECTION("is replaced by another instance") {
    REQUIRE(tracker.OnAnnounced(Announcement("b", kLaterStart, 1), doubtful) ==
            Verdict::kNewIncarnation);
    SECTION("and does not return while that one is not doubtful") {
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), false) ==
            Verdict::kStale);
      CHECK_FALSE(tracker.OnLeft("a", kFirstStart));
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 9), true) ==
            Verdict::kStale);
    }
    SECTION("and does not return with an announcement from before") {
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 7), true) ==
            Verdict::kStale);
    }
    SECTION("and returns if that one is doubtful: it was not started at all") {
      CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), true) ==
            Verdict::kNewIncarnation);
      CHECK(tracker.OnAnnounced(Announcement("b", kLaterStart, 1), true) ==
            Verdict::kStale);
    }
  }

  SECTION("is not replaced by another instance that started earlier") {
    CHECK(tracker.OnAnnounced(Announcement("b", kEarlierStart, 70), false) ==
          Verdict::kStale);
    CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), false) ==
          Verdict::kCurrentIncarnation);
  }

  SECTION("is accepted after deregistration only as a new incarnation") {
    REQUIRE(tracker.OnLeft("a", kFirstStart));
    CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 8), true) ==
          Verdict::kStale);
    CHECK(tracker.OnAnnounced(Announcement("a", kLaterStart, 1), true) ==
          Verdict::kNewIncarnation);
  }
}

TEST_CASE("a node without previous state accepts the first announcement") {
  ServerIncarnationTracker tracker;
  REQUIRE(tracker.OnAnnounced(Announcement("a", kFirstStart, 40), true) ==
          Verdict::kNewIncarnation);
  SECTION("a later incarnation replaces it if the first was stale") {
    CHECK(tracker.OnAnnounced(Announcement("a", kLaterStart, 1), false) ==
          Verdict::kNewIncarnation);
  }
}

TEST_CASE("a server found by discovery reports its start time later") {
  ServerIncarnationTracker tracker;
  REQUIRE(tracker.OnAnnounced(Announcement("a", milliseconds(0), 0), true) ==
          Verdict::kNewIncarnation);
  CHECK(tracker.OnAnnounced(Announcement("a", kFirstStart, 3), false) ==
        Verdict::kCurrentIncarnation);
  CHECK(tracker.OnAnnounced(Announcement("a", kLaterStart, 1), false) ==
        Verdict::kNewIncarnation);
}

}  // namespace
}  // namespace chestnutport::server
