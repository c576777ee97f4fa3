// Which announcements count, when a server starts again under its instance.
#include "server/server_incarnations.h"

#include <catch2/catch.hpp>

namespace chestnutport::server {
namespace {

using std::chrono::milliseconds;
using Verdict = ServerIncarnations::Verdict;

constexpr milliseconds kFirst(1'000'000);
constexpr milliseconds kLater(1'030'000);
constexpr milliseconds kEarlier(970'000);

ServerAnnouncement Say(const std::string& instance,
                       milliseconds started_at,
                       int64_t sequence) {
  ServerAnnouncement said;
  said.instance = instance;
  said.started_at = started_at;
  said.sequence = sequence;
  return said;
}

TEST_CASE("a server that announced itself") {
  ServerIncarnations server;
  const bool overdue = GENERATE(false, true);
  REQUIRE(server.OnAnnounced(Say("a", kFirst, 7), true) == Verdict::kStarted);

  SECTION("goes on counting") {
    CHECK(server.OnAnnounced(Say("a", kFirst, 8), overdue) ==
          Verdict::kContinues);
    CHECK(server.OnAnnounced(Say("a", kFirst, 8), false) == Verdict::kLate);
  }

  SECTION("starts again under its instance, and counts anew") {
    REQUIRE(server.OnAnnounced(Say("a", kLater, 1), overdue) ==
            Verdict::kStarted);
    CHECK(server.OnAnnounced(Say("a", kLater, 2), false) ==
          Verdict::kContinues);

    SECTION("what the start before it said comes late") {
      CHECK(server.OnAnnounced(Say("a", kFirst, 9), false) == Verdict::kLate);
    }
    SECTION("the leave of the start before it changes nothing") {
      CHECK_FALSE(server.OnLeft("a", kFirst));
      CHECK(server.OnAnnounced(Say("a", kLater, 3), false) ==
            Verdict::kContinues);
    }
    SECTION("and its own leave ends it") {
      CHECK(server.OnLeft("a", kLater));
      CHECK(server.OnAnnounced(Say("a", kLater, 3), true) == Verdict::kLate);
    }
  }

  SECTION("starts again after its clock was set back") {
    const auto said = Say("a", kEarlier, 1);
    SECTION("and is taken up once the start before it is overdue") {
      CHECK(server.OnAnnounced(said, true) == Verdict::kStarted);
      CHECK(server.OnAnnounced(Say("a", kEarlier, 2), false) ==
            Verdict::kContinues);
      CHECK(server.OnAnnounced(Say("a", kFirst, 8), false) == Verdict::kLate);
    }
    SECTION("while a late word of an earlier start is not") {
      CHECK(server.OnAnnounced(said, false) == Verdict::kLate);
      CHECK(server.OnAnnounced(Say("a", kFirst, 8), false) ==
            Verdict::kContinues);
    }
  }

  SECTION("is taken up again if an earlier start took its place wrongly") {
    REQUIRE(server.OnAnnounced(Say("a", kEarlier, 90), true) ==
            Verdict::kStarted);
    CHECK(server.OnAnnounced(Say("a", kFirst, 9), true) == Verdict::kStarted);
  }

  SECTION("keeps its place if another writer does not tell a start") {
    CHECK(server.OnAnnounced(Say("a", milliseconds(0), 50), overdue) ==
          Verdict::kLate);
    CHECK(server.OnAnnounced(Say("a", kFirst, 8), overdue) ==
          Verdict::kContinues);
  }

  SECTION("gives its place to another instance for good") {
    REQUIRE(server.OnAnnounced(Say("b", kLater, 1), overdue) ==
            Verdict::kStarted);
    CHECK(server.OnAnnounced(Say("a", kFirst, 8), overdue) == Verdict::kLate);
    CHECK_FALSE(server.OnLeft("a", kFirst));
  }

  SECTION("that left comes back only with another start") {
    REQUIRE(server.OnLeft("a", kFirst));
    CHECK(server.OnAnnounced(Say("a", kFirst, 8), true) == Verdict::kLate);
    CHECK(server.OnAnnounced(Say("a", kLater, 1), true) == Verdict::kStarted);
  }
}

TEST_CASE("a node that knows nothing of before takes up the first it hears") {
  ServerIncarnations server;
  REQUIRE(server.OnAnnounced(Say("a", kFirst, 40), true) == Verdict::kStarted);
  SECTION("and the start after it, if the first was late") {
    CHECK(server.OnAnnounced(Say("a", kLater, 1), false) == Verdict::kStarted);
  }
}

TEST_CASE("a server found by its health path tells its start later") {
  ServerIncarnations server;
  REQUIRE(server.OnAnnounced(Say("a", milliseconds(0), 0), true) ==
          Verdict::kStarted);
  CHECK(server.OnAnnounced(Say("a", kFirst, 3), false) == Verdict::kContinues);
  CHECK(server.OnAnnounced(Say("a", kLater, 1), false) == Verdict::kStarted);
}

}  // namespace
}  // namespace chestnutport::server
