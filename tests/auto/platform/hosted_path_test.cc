// Node processes on the stand-in of the hosted platform, from the configuration
// in the store to the response of a server.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>

#include "absl/strings/str_cat.h"
#include "duties/current_read_draw.h"
#include "support/hosted_node.h"
#include "support/hosted_platform.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using net::FindHeader;

// Returns a configuration with one route, for `prefix`.
std::string ConfigurationText(int version, const std::string& prefix) {
  return absl::StrCat(
      R"({"version":)", version,
      R"(,"routes":{"columns":["name","host","prefix","routeKind","timeout",)",
      R"("targetLatency","priority","service","attempts"],"rows":)",
      R"([["r","a.example",")", prefix,
      R"(","idempotent","2s","400ms",1,"dossie",2]]},)",
      R"("services":{"columns":["name","healthPath","maxConnections"],)",
      R"("rows":[["dossie","/healthz",200]]},"limits":)",
      R"({"maxBodyBytes":67108864}})");
}

class HostedFleet {
 public:
  HostedFleet()
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("hosted-", getpid())) {
    std::filesystem::create_directories(folder_);
    one =
        std::make_unique<HostedNode>("one", platform.store_address(), folder_);
  }
  ~HostedFleet() {
    one.reset();
    two.reset();
    std::filesystem::remove_all(folder_);
  }
  HostedFleet(const HostedFleet&) = delete;
  HostedFleet& operator=(const HostedFleet&) = delete;

  void Configure(int version, const std::string& prefix) {
    platform.Put("op/config", ConfigurationText(version, prefix));
    REQUIRE(WaitUntil([&] { return one->IsReady(); }));
  }

  void AddSecondNode(const std::string& server_address = "127.0.0.1:0",
                     const std::string& data_centre = "one") {
    two = std::make_unique<HostedNode>("two", platform.store_address(), folder_,
                                       server_address, data_centre);
  }

  HostedPlatform platform;
  std::unique_ptr<HostedNode> one;
  std::unique_ptr<HostedNode> two;

 private:
  std::filesystem::path folder_;
};

TEST_CASE("a node without a configuration is not ready and answers 503") {
  HostedFleet fleet;
  CHECK_FALSE(fleet.one->IsReady());
  CHECK(fleet.one->Call("/p/x", "r1").status == 503);

  SECTION("it applies a configuration when it is written, and each later one") {
    HostedServer& server = fleet.platform.AddServer("dossie", "i-1");
    fleet.Configure(7, "/p/");
    fleet.one->Announce(server, "ready", 1);
    REQUIRE(
        WaitUntil([&] { return fleet.one->Call("/p/x", "r2").status == 200; }));
    CHECK(fleet.one->Call("/q/x", "r3").status == 404);
    fleet.platform.Put("op/config", ConfigurationText(9, "/q/"));
    CHECK(
        WaitUntil([&] { return fleet.one->Call("/q/x", "r4").status == 200; }));
    CHECK(fleet.one->Call("/p/x", "r5").status == 404);
    // An older revision that is written later is ignored.
    fleet.platform.Put("op/config", ConfigurationText(8, "/p/"));
    CHECK(fleet.one->Call("/q/x", "r6").status == 200);
  }
}

TEST_CASE("requests forwarded to a server") {
  HostedFleet fleet;
  HostedServer& server = fleet.platform.AddServer("dossie", "i-1");
  fleet.Configure(7, "/p/");
  fleet.one->Announce(server, "ready", 1);
  REQUIRE(
      WaitUntil([&] { return fleet.one->Call("/p/x", "r1").status == 200; }));

  SECTION("carry the deadline, the expected instance and the origin service") {
    net::HttpRequest seen;
    fleet.platform.Run([&] { seen = server.requests.back(); });
    CHECK(FindHeader(seen.headers, "Caller-Service") == "dossie");
    CHECK(FindHeader(seen.headers, "Expected-Instance") == "i-1");
    CHECK(std::stoi(std::string(FindHeader(seen.headers, "Deadline-Ms"))) <=
          1500);
    CHECK(FindHeader(seen.headers, "Chestnutport-Attempt").empty());
  }
  SECTION("stop after the server announced that it is draining") {
    fleet.one->Announce(server, "draining", 2);
    const size_t before = fleet.platform.RequestCount(server);
    const auto answer = fleet.one->Call("/p/x", "r2");
    CHECK(answer.status == 503);
    CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
    CHECK(fleet.platform.RequestCount(server) == before);

    SECTION("also if an earlier announcement arrives late") {
      fleet.one->Announce(server, "ready", 1);
      CHECK(fleet.one->Call("/p/x", "r3").status == 503);
    }
  }
  SECTION("may have a body as large as the configuration allows") {
    fleet.AddSecondNode();
    REQUIRE(
        WaitUntil([&] { return fleet.two->Call("/p/x", "r2").status == 200; }));
    const std::string body(4'000'000, 'x');
    RawSocket caller(fleet.two->caller_address());
    caller.Send(absl::StrCat("POST /p/x HTTP/1.1\r\nHost: a.example\r\n",
                             "Request-Id: r3\r\nDeadline-Ms: 5000\r\n",
                             "Content-Length: ", body.size(), "\r\n\r\n",
                             body));
    CHECK(caller.ReadMessage().starts_with("HTTP/1.1 200"));
    fleet.platform.Run([&] { CHECK((server.requests.back().body == body)); });
  }
  SECTION("a response without a signature is not forwarded") {
    fleet.platform.Run([&] {
      server.answer = [](const net::HttpRequest&) {
        return net::HttpAnswer{.status = 200, .headers = {}, .body = "forged"};
      };
    });
    const auto answer = fleet.one->Call("/p/x", "r4");
    CHECK(answer.status == 502);
    CHECK(answer.body.find("forged") == std::string::npos);
  }
  SECTION("a replaced server gets no requests until it announces itself") {
    fleet.platform.Run([&] {
      server.answer = [](const net::HttpRequest&) {
        return net::HttpAnswer{.status = 421,
                               .headers = {{"Instance-Id", "i-2"}}};
      };
    });
    CHECK(fleet.one->Call("/p/x", "r5").status == 503);
    const size_t before = fleet.platform.RequestCount(server);
    CHECK(fleet.one->Call("/p/x", "r6").status == 503);
    CHECK(fleet.platform.RequestCount(server) == before);
  }
}

TEST_CASE("a node that starts after its local server discovers it") {
  HostedFleet fleet;
  HostedServer& server = fleet.platform.AddServer("dossie", "i-1");
  fleet.platform.Put("op/config", ConfigurationText(7, "/p/"));
  fleet.AddSecondNode(server.listener->address().ToString());
  CHECK(WaitUntil([&] { return fleet.two->Call("/p/x", "r").status == 200; }));

  SECTION("a later announcement overrides what was discovered") {
    fleet.two->Announce(server, "draining", 5);
    CHECK(fleet.two->Call("/p/x", "r2").status == 503);
  }
  SECTION("also if it learns that an earlier server has left") {
    // Until the nodes know each other.
    REQUIRE(
        WaitUntil([&] { return fleet.one->Call("/p/x", "r2").status == 200; }));
    HostedServer earlier;
    earlier.instance = "i-0";
    fleet.two->Deregister(earlier);
    fleet.two->KeepAddresses();
    fleet.two->Kill();
    fleet.platform.Run([&] { server.health_status = 503; });
    fleet.two->Start();
    // The departure is known before the server is found.
    REQUIRE(WaitUntil([&] {
      return !fleet.two->process()
                  .FieldValues("departure-inherited", "instance")
                  .empty();
    }));
    fleet.platform.Run([&] { server.health_status = 200; });
    CHECK(WaitUntil([&] { return fleet.two->Call("/p/x", "r3").status == 200; },
                    std::chrono::seconds(3)));
  }
}

// Returns the calls that start with `prefix`.
std::vector<std::string> CallsWithPrefix(const std::vector<std::string>& calls,
                                         std::string_view prefix) {
  std::vector<std::string> found;
  std::copy_if(
      calls.begin(), calls.end(), std::back_inserter(found),
      [&](const std::string& call) { return call.starts_with(prefix); });
  return found;
}

TEST_CASE("a starting node puts little load on the store") {
  constexpr std::string_view kListing = "/chestnutport/kv-range?";
  constexpr std::string_view kWatch = "/chestnutport/kv-watch?";
  constexpr std::string_view kRead = "/chestnutport/kv-key?";
  HostedFleet fleet;
  fleet.Configure(7, "/p/");

  SECTION("it watches only after two reads, when it knows the other nodes") {
    std::vector<std::string> calls;
    REQUIRE(WaitUntil([&] {
      calls = fleet.platform.StoreCalls();
      return !CallsWithPrefix(calls, kWatch).empty();
    }));
    const auto watch = std::ranges::find_if(
        calls, [&](const auto& call) { return call.starts_with(kWatch); });
    const std::vector<std::string> before(calls.begin(), watch);
    CHECK(CallsWithPrefix(before, kRead).size() >= 2);
  }
  SECTION(
      "its first listings may be stale, a later one is not as it is alone") {
    const auto is_stale = [](const std::string& listing) {
      return listing.find("staleOk=1") != std::string::npos;
    };
    std::vector<std::string> listings;
    REQUIRE(WaitUntil([&] {
      listings = CallsWithPrefix(fleet.platform.StoreCalls(), kListing);
      std::erase_if(listings, [](const std::string& listing) {
        return listing.find("/seeds/") == std::string::npos;
      });
      return !std::ranges::all_of(listings, is_stale);
    }));
    const auto current = std::ranges::find_if_not(listings, is_stale);
    CHECK(is_stale(listings[0]));
    // One more than the draws: the first listing of all is not drawn.
    CHECK(current - listings.begin() <=
          duties::CurrentReadDraw::kStaleReads + 1);
  }
}

TEST_CASE("requests move unrun from the node of a slow server to another") {
  HostedFleet fleet;
  HostedServer& slow = fleet.platform.AddServer("dossie", "i-slow");
  HostedServer& fast = fleet.platform.AddServer("dossie", "i-fast");
  fleet.platform.Run([&] { slow.load = "0,0,12,400"; });
  fleet.AddSecondNode();
  fleet.Configure(7, "/p/");
  REQUIRE(WaitUntil([&] { return fleet.two->IsReady(); }));
  fleet.one->Announce(slow, "ready", 1);
  fleet.two->Announce(fast, "ready", 1);
  // Waits until the nodes know each other and have probed their servers.
  REQUIRE(WaitUntil([&] {
    fleet.one->Call("/p/x", "warm");
    return fleet.platform.RequestCount(fast) > 0;
  }));
  const size_t before = fleet.platform.RequestCount(slow);
  for (int i = 0; i < 20; ++i)
    CHECK(fleet.one->Call("/p/x", absl::StrCat("r", i)).status == 200);
  CHECK(fleet.platform.RequestCount(slow) == before);
}

TEST_CASE("a server in an evacuated data centre gets no new requests") {
  HostedFleet fleet;
  HostedServer& here = fleet.platform.AddServer("dossie", "i-one");
  HostedServer& there = fleet.platform.AddServer("dossie", "i-two");
  fleet.AddSecondNode("127.0.0.1:0", "far");
  fleet.Configure(7, "/p/");
  REQUIRE(WaitUntil([&] { return fleet.two->IsReady(); }));
  fleet.one->Announce(here, "ready", 1);
  fleet.two->Announce(there, "ready", 1);
  const auto lists_both_servers = [](const HostedNode& node) {
    const std::string status = node.Operate("GET", "/v1/status").body;
    const size_t first = status.find("dossie");
    return first != std::string::npos &&
           status.find("dossie", first + 1) != std::string::npos;
  };
  REQUIRE(WaitUntil([&] {
    return lists_both_servers(*fleet.one) && lists_both_servers(*fleet.two);
  }));
  const auto is_evacuated = [](const HostedNode& node, const char* name) {
    return node.Operate("GET", "/v1/evacuations").body.find(name) !=
           std::string::npos;
  };
  fleet.platform.Put("op/evacuate/one", "{}");
  REQUIRE(WaitUntil([&] {
    return is_evacuated(*fleet.one, "one") && is_evacuated(*fleet.two, "one");
  }));
  size_t before = fleet.platform.RequestCount(here);

  SECTION("its node still accepts requests of callers") {
    for (int i = 0; i < 10; ++i) {
      CHECK(fleet.one->Call("/p/x", absl::StrCat("a", i)).status == 200);
      CHECK(fleet.two->Call("/p/x", absl::StrCat("b", i)).status == 200);
    }
    CHECK(fleet.platform.RequestCount(here) == before);
  }
  SECTION("also while the store is unavailable") {
    fleet.platform.set_failure(503);
    CHECK(fleet.two->Call("/p/x", "c").status == 200);
    CHECK(fleet.platform.RequestCount(here) == before);
    CHECK(is_evacuated(*fleet.one, "one"));
  }
  SECTION("requests fail at once if no other data centre has servers") {
    fleet.platform.Put("op/evacuate/far", "{}");
    REQUIRE(WaitUntil([&] { return is_evacuated(*fleet.one, "far"); }));
    before += fleet.platform.RequestCount(there);
    CHECK(fleet.one->Call("/p/x", "d").status == 503);
    CHECK(fleet.platform.RequestCount(here) +
              fleet.platform.RequestCount(there) ==
          before);
  }
  SECTION("until the evacuation ends") {
    fleet.platform.Remove("op/evacuate/one");
    CHECK(WaitUntil([&] {
      fleet.one->Call("/p/x", "e");
      return fleet.platform.RequestCount(here) > before;
    }));
  }
}

TEST_CASE("a node keeps serving when its settings change or the store fails") {
  HostedFleet fleet;
  HostedServer& server = fleet.platform.AddServer("dossie", "i-1");
  fleet.Configure(7, "/p/");
  fleet.one->Announce(server, "ready", 1);
  fleet.platform.set_failure(GENERATE(0, 503, 429));
  fleet.one->process().Signal(SIGHUP);
  REQUIRE_FALSE(fleet.one->process().WaitForField("changed").empty());
  CHECK(WaitUntil([&] { return fleet.one->Call("/p/x", "r").status == 200; }));
}

}  // namespace
}  // namespace chestnutport::test
