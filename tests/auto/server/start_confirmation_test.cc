// Guards against a server that a restarted node uses without evidence that it
// has not left, and against one that is never used.
#include "server/start_confirmation.h"

#include <catch2/catch.hpp>

namespace chestnutport::server {
namespace {

using std::chrono::milliseconds;
using Departures = StartConfirmation::Departures;

constexpr base::Instant kNow = base::Instant(std::chrono::hours(1));

ServerAnnouncement Announcement(const std::string& instance, int64_t sequence) {
  ServerAnnouncement announcement;
  announcement.instance = instance;
  announcement.sequence = sequence;
  return announcement;
}

TEST_CASE("a node that has just started") {
  StartConfirmation start;
  start.RequireEvidence();
  const ServerAnnouncement found = Announcement("a", 0);
  const ServerAnnouncement announced = Announcement("a", 7);
  const auto announce_twice = [&] {
    start.OnAnnounced(announced, kNow);
    start.OnAnnounced(Announcement("a", 8), kNow + milliseconds(500));
  };

  SECTION("uses no server while it reads who has left") {
    start.SetDepartures(Departures::kReading);
    start.OnHealthChecked(found);
    announce_twice();
    CHECK_FALSE(start.Confirmed());
    start.SetDepartures(Departures::kKnown);
    REQUIRE(start.Confirmed());
    CHECK(start.Confirmed()->sequence == 8);
  }
  SECTION("knows who has left") {
    SECTION("and uses a server with a good health check") {
      start.OnHealthChecked(found);
      CHECK(start.Confirmed());
    }
    SECTION("and uses one that announces itself twice") {
      start.OnAnnounced(announced, kNow);
      CHECK_FALSE(start.Confirmed());
      start.OnAnnounced(announced, kNow + milliseconds(600));
      CHECK_FALSE(start.Confirmed());
      start.OnAnnounced(Announcement("a", 8), kNow + milliseconds(600));
      CHECK(start.Confirmed());
    }
    SECTION("and uses none for two announcements that were delayed together") {
      start.OnAnnounced(announced, kNow);
      start.OnAnnounced(Announcement("a", 8), kNow + milliseconds(499));
      CHECK_FALSE(start.Confirmed());
    }
    SECTION("and uses the healthy one, whatever announcement is late") {
      start.OnHealthChecked(found);
      start.OnAnnounced(Announcement("b", 9), kNow);
      REQUIRE(start.Confirmed());
      CHECK(start.Confirmed()->instance == "a");
    }
    SECTION("and needs evidence anew if the server has left") {
      announce_twice();
      start.OnHealthChecked(found);
      start.OnRejected();
      CHECK_FALSE(start.Confirmed());
      start.OnAnnounced(Announcement("b", 1), kNow + milliseconds(700));
      CHECK_FALSE(start.Confirmed());
    }
  }
  SECTION("cannot read who has left") {
    start.SetDepartures(Departures::kUnavailable);
    SECTION("and uses no server for its health check alone") {
      start.OnHealthChecked(found);
      CHECK_FALSE(start.Confirmed());
      start.OnAnnounced(Announcement("b", 9), kNow);
      CHECK_FALSE(start.Confirmed());
      start.OnAnnounced(announced, kNow);
      CHECK(start.Confirmed());
    }
    SECTION("and uses one that announces itself twice") {
      announce_twice();
      CHECK(start.Confirmed());
    }
  }
}

TEST_CASE("a node that needs no evidence") {
  StartConfirmation start;
  const auto announcement = Announcement("", 0);
  const auto departures = GENERATE(
      Departures::kReading, Departures::kUnavailable, Departures::kKnown);
  start.SetDepartures(departures);
  start.OnAnnounced(announcement, kNow);
  CHECK(start.Confirmed().has_value() == (departures != Departures::kReading));
}

}  // namespace
}  // namespace chestnutport::server
