// Guards against invalid, incomplete or stale messages that change or remove
// the local server, and against a live server that stays replaced by them.
#include "server/local_server.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "http_client/http_client.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

json Announcement(const std::string& service,
                  int64_t started_at,
                  int sequence) {
  return {{"service", service}, {"address", "127.0.0.1:9"},
          {"zone", "one"},      {"slots", 6},
          {"state", "ready"},   {"sequence", sequence},
          {"born", started_at}};
}

class LocalServerFixture {
 public:
  LocalServerFixture()
      : local_server(
            loop_,
            {.has_instance = true,
             .fields = {"zone", "state", "sequence"},
             .service = "laudo"},
            [](const std::string& service) { return service == "dossie"; },
            [] {},
            [] { return true; }),
        client_(loop_, http_client::HttpClientOptions{}) {
    REQUIRE(local_server.Listen(*base::SocketAddress::Parse("127.0.0.1:0")));
  }

  // Returns the HTTP status of the response.
  int SendRequest(const std::string& method,
                  const std::string& text,
                  const std::string& target = "/v1/server/i-1") {
    int status = 0;
    client_.Send(local_server.address(),
                 {.method = method, .target = target, .body = text},
                 std::chrono::seconds(10),
                 [&](http_client::TransferResult result) {
                   status = result.answer.status;
                   loop_.Stop();
                 });
    loop_.Run();
    return status;
  }

  void RunFor(base::Duration time) {
    loop_.CallAfter(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  int PostAnnouncement(const json& body) {
    return SendRequest("POST", body.dump());
  }

 private:
  net::EventLoop loop_;

 public:
  LocalServer local_server;

 private:
  http_client::HttpClient client_;
};

TEST_CASE("local server state") {
  LocalServerFixture fixture;
  REQUIRE(fixture.PostAnnouncement(Announcement("dossie", 1000, 3)) == 200);
  const uint64_t first_life = fixture.local_server.state().life;

  SECTION("is unchanged by invalid messages") {
    json invalid = Announcement("dossie", 1000, 4);
    invalid["slots"] = "six";
    CHECK(fixture.PostAnnouncement(invalid) == 400);
    CHECK(fixture.SendRequest("POST", "\xff\x00{") == 400);
    CHECK(fixture.PostAnnouncement(Announcement("unheard", 2000, 1)) == 400);
    json fractional_start = Announcement("dossie", 1000, 5);
    fractional_start["born"] = 1000.5;
    CHECK(fixture.PostAnnouncement(fractional_start) == 400);
    CHECK(fixture.SendRequest("DELETE", R"({"born":"soon"})") == 400);
    CHECK(fixture.SendRequest("DELETE", "\xff\x01") == 400);
    CHECK(fixture.local_server.state().announced);
    CHECK(fixture.local_server.state().service == "dossie");
    CHECK(fixture.local_server.state().life == first_life);
  }

  SECTION("is unchanged by messages of another sender, with fields missing") {
    const std::string target = GENERATE("/v1/server", "/v1/server/i-2");
    const json partial = {
        {"service", "dossie"}, {"address", "127.0.0.1:9"}, {"slots", 6}};
    CHECK(fixture.SendRequest("POST", partial.dump(), target) == 400);
    CHECK(fixture.SendRequest("POST", Announcement("dossie", 2000, 1).dump(),
                              "/v1/server") == 400);
    CHECK(fixture.SendRequest("DELETE", "", "/v1/server") == 400);
    CHECK(fixture.local_server.state().instance == "i-1");
    CHECK(fixture.local_server.state().life == first_life);

    json leaving = Announcement("dossie", 1000, 4);
    leaving["state"] = "draining";
    REQUIRE(fixture.PostAnnouncement(leaving) == 200);
    CHECK(fixture.local_server.state().draining);
  }

  SECTION("returns to the live server after a late announcement of another") {
    const std::string late = Announcement("dossie", 2000, 40).dump();
    REQUIRE(fixture.SendRequest("POST", late, "/v1/server/i-0") == 200);
    REQUIRE(fixture.local_server.state().instance == "i-0");
    const uint64_t late_life = fixture.local_server.state().life;
    fixture.local_server.OnReplacedReported(first_life, true);
    CHECK(fixture.PostAnnouncement(Announcement("dossie", 1000, 4)) == 200);
    CHECK(fixture.local_server.state().instance == "i-0");
    fixture.local_server.OnReplacedReported(late_life, true);
    CHECK(fixture.PostAnnouncement(Announcement("dossie", 1000, 5)) == 200);
    CHECK(fixture.local_server.state().instance == "i-1");
    CHECK(fixture.SendRequest("POST", late, "/v1/server/i-0") == 200);
    CHECK(fixture.local_server.state().instance == "i-1");
  }

  SECTION("stops draining when the same incarnation is used anew") {
    json leaving = Announcement("dossie", 1000, 4);
    leaving["state"] = "draining";
    REQUIRE(fixture.PostAnnouncement(leaving) == 200);
    REQUIRE(fixture.local_server.departure());
    json moved = Announcement("dossie", 1000, 5);
    moved["address"] = "127.0.0.1:10";
    REQUIRE(fixture.PostAnnouncement(moved) == 200);
    CHECK_FALSE(fixture.local_server.state().draining);
    CHECK_FALSE(fixture.local_server.departure());
  }

  SECTION("stops draining when a new incarnation of the same instance starts") {
    json leaving = Announcement("dossie", 1000, 4);
    leaving["state"] = "draining";
    REQUIRE(fixture.PostAnnouncement(leaving) == 200);
    CHECK(fixture.local_server.state().draining);
    REQUIRE(fixture.PostAnnouncement(Announcement("dossie", 5000, 1)) == 200);
    CHECK_FALSE(fixture.local_server.state().draining);
    CHECK(fixture.local_server.state().life > first_life);

    SECTION("a stale drain of the previous incarnation is ignored") {
      leaving["sequence"] = 5;
      CHECK(fixture.PostAnnouncement(leaving) == 200);
      CHECK_FALSE(fixture.local_server.state().draining);
      CHECK(fixture.SendRequest("DELETE", R"({"born":1000})") == 200);
      CHECK(fixture.local_server.state().announced);
    }
    SECTION("the new incarnation can be deregistered") {
      CHECK(fixture.SendRequest("DELETE", R"({"born":5000})") == 200);
      CHECK_FALSE(fixture.local_server.state().announced);
    }
  }
}

TEST_CASE("an announcement before any other") {
  LocalServerFixture fixture;
  SECTION("is rejected if nobody has named its service") {
    CHECK(fixture.PostAnnouncement(Announcement("unheard", 1000, 1)) == 400);
    CHECK_FALSE(fixture.local_server.state().announced);
  }
  SECTION("is accepted if its service is declared, or expected") {
    const std::string service = GENERATE("dossie", "laudo");
    CHECK(fixture.PostAnnouncement(Announcement(service, 1000, 1)) == 200);
    CHECK(fixture.local_server.state().service == service);
  }
}

TEST_CASE("a server that an earlier run of the node knew to leave") {
  LocalServerFixture fixture;
  const base::ServerDeparture draining{"i-1", std::chrono::milliseconds(1000),
                                       false};
  base::ServerDeparture left = draining;
  left.has_left = true;

  SECTION("is not used again after it has left") {
    fixture.local_server.OnDepartureInherited(left);
    REQUIRE(fixture.PostAnnouncement(Announcement("dossie", 1000, 3)) == 200);
    CHECK_FALSE(fixture.local_server.state().announced);
  }
  SECTION("is withdrawn if it was announced before that is known") {
    REQUIRE(fixture.PostAnnouncement(Announcement("dossie", 1000, 3)) == 200);
    fixture.local_server.OnDepartureInherited(left);
    CHECK_FALSE(fixture.local_server.state().announced);
  }
  SECTION("still drains, although a late announcement says that it is ready") {
    const bool is_announced_first = GENERATE(false, true);
    if (!is_announced_first)
      fixture.local_server.OnDepartureInherited(draining);
    REQUIRE(fixture.PostAnnouncement(Announcement("dossie", 1000, 3)) == 200);
    if (is_announced_first)
      fixture.local_server.OnDepartureInherited(draining);
    CHECK(fixture.local_server.state().draining);
    CHECK(fixture.local_server.departure() == draining);
    CHECK(fixture.SendRequest("DELETE", "") == 200);
    CHECK(fixture.local_server.departure() == left);
  }
  SECTION("does not keep the next server from being used") {
    fixture.local_server.OnDepartureInherited(left);
    REQUIRE(fixture.PostAnnouncement(Announcement("dossie", 5000, 1)) == 200);
    CHECK(fixture.local_server.state().AcceptsRequests());
    CHECK(fixture.local_server.departure() == left);
  }
}

TEST_CASE("the first announcement after the start of a node") {
  LocalServerFixture fixture;
  fixture.local_server.RequireConfirmation();
  const json first = Announcement("dossie", 1000, 3);
  REQUIRE(fixture.PostAnnouncement(first) == 200);
  REQUIRE_FALSE(fixture.local_server.state().announced);

  SECTION("is not confirmed by announcements that arrive with it") {
    CHECK(fixture.PostAnnouncement(Announcement("dossie", 1000, 4)) == 200);
    CHECK_FALSE(fixture.local_server.state().announced);
  }
  SECTION("is confirmed by a later one, but not by its repetition") {
    fixture.RunFor(std::chrono::milliseconds(600));
    CHECK(fixture.PostAnnouncement(first) == 200);
    CHECK_FALSE(fixture.local_server.state().announced);
    CHECK(fixture.PostAnnouncement(Announcement("dossie", 1000, 4)) == 200);
    CHECK(fixture.local_server.state().announced);
  }
  SECTION("is confirmed by the server's health check") {
    ServerAnnouncement found;
    found.service = "dossie";
    found.instance = "i-1";
    fixture.local_server.OnDiscovered(found);
    CHECK(fixture.local_server.state().announced);
  }
  SECTION("is believed if it says that the server drains") {
    json leaving = Announcement("dossie", 1000, 4);
    leaving["state"] = "draining";
    CHECK(fixture.PostAnnouncement(leaving) == 200);
    CHECK(fixture.local_server.state().draining);
  }
}

}  // namespace
}  // namespace chestnutport::server
