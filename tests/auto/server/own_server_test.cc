// What a node believes of its own server, by what is posted to it.
#include "server/own_server.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

json Body(const std::string& service, int64_t born, int sequence) {
  return {{"service", service}, {"address", "127.0.0.1:9"}, {"slots", 6},
          {"state", "ready"},   {"sequence", sequence},     {"born", born}};
}

class Scene {
 public:
  Scene()
      : own(
            loop_,
            [](const std::string& service) { return service == "dossie"; },
            [] {}),
        client_(loop_, net::HttpClientOptions{}) {
    REQUIRE(own.Listen(*base::SocketAddress::Parse("127.0.0.1:0")));
  }

  // The status of the answer.
  int Ask(const std::string& method, const std::string& text) {
    int status = 0;
    client_.Send(own.address(),
                 {.method = method, .target = "/v1/server/i-1", .body = text},
                 std::chrono::seconds(10), [&](net::TransferResult result) {
                   status = result.answer.status;
                   loop_.Stop();
                 });
    loop_.Run();
    return status;
  }

  int Post(const json& body) { return Ask("POST", body.dump()); }

 private:
  net::EventLoop loop_;

 public:
  OwnServer own;

 private:
  net::HttpClient client_;
};

TEST_CASE("a server's node") {
  Scene scene;
  REQUIRE(scene.Post(Body("dossie", 1000, 3)) == 200);
  const uint64_t first_life = scene.own.state().life;

  SECTION("keeps it whatever another writer posts") {
    json spoilt = Body("dossie", 1000, 4);
    spoilt["slots"] = "six";
    CHECK(scene.Post(spoilt) == 400);
    CHECK(scene.Ask("POST", "\xff\x00{") == 400);
    CHECK(scene.Post(Body("unheard", 2000, 1)) == 400);
    json fraction = Body("dossie", 1000, 5);
    fraction["born"] = 1000.5;
    CHECK(scene.Post(fraction) == 400);
    CHECK(scene.Ask("DELETE", R"({"born":"soon"})") == 400);
    CHECK(scene.Ask("DELETE", "\xff\x01") == 400);
    CHECK(scene.own.state().announced);
    CHECK(scene.own.state().service == "dossie");
    CHECK(scene.own.state().life == first_life);
  }

  SECTION("ends its drain with a new start under the same name") {
    json leaving = Body("dossie", 1000, 4);
    leaving["state"] = "draining";
    REQUIRE(scene.Post(leaving) == 200);
    CHECK(scene.own.state().draining);
    REQUIRE(scene.Post(Body("dossie", 5000, 1)) == 200);
    CHECK_FALSE(scene.own.state().draining);
    CHECK(scene.own.state().life > first_life);

    SECTION("and the drain that comes late is of the start before") {
      leaving["sequence"] = 5;
      CHECK(scene.Post(leaving) == 200);
      CHECK_FALSE(scene.own.state().draining);
      CHECK(scene.Ask("DELETE", R"({"born":1000})") == 200);
      CHECK(scene.own.state().announced);
    }
    SECTION("which it can end as well") {
      CHECK(scene.Ask("DELETE", R"({"born":5000})") == 200);
      CHECK_FALSE(scene.own.state().announced);
    }
  }
}

}  // namespace
}  // namespace chestnutport::server
