// Guards against a server's status that no caller could make use of: it must
// not be passed on, nor keep the caller waiting until its deadline.
#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/hosted_node.h"
#include "support/raw_server.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kRequests = 9;
constexpr int kInvalidEach = 3;  // One answer in so many.

constexpr char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["p","a.example","/p/","non_idempotent","2s","400ms",1,"dossie",2],)"
    R"(["i","a.example","/i/","idempotent","2s","400ms",1,"dossie",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200]]},"limits":{}})";

std::string Answer(const std::string& status) {
  return absl::StrCat("HTTP/1.1 ", status,
                      " Text\r\nResponse-Signature: s\r\nInstance-Id: i-1\r\n"
                      "Instance-Load: 0,0,12,100\r\n"
                      "Chestnutport-Outcome: answered\r\n"
                      "Content-Length: 2\r\n\r\n"
                      "ok");
}

// Who gives the invalid status.
enum class Faulty { kServer, kNode };

TEST_CASE("one answer in three with an invalid status") {
  const Faulty faulty = GENERATE(Faulty::kServer, Faulty::kNode);
  const std::string status =
      GENERATE("000", "001", "099", "600", "999", "0200", "20", "2x0");
  INFO(status << (faulty == Faulty::kServer ? " of a server" : " of a node"));
  std::atomic<int> requests = 0;
  RawServer server([&](RawSocket& connection, int) {
    while (true) {
      const std::string head = connection.ReadUntil("\r\n\r\n");
      if (head.empty())
        return;
      const bool is_invalid =
          absl::StrContains(head, " /p/x ") && ++requests % kInvalidEach == 0;
      connection.Send(Answer(is_invalid ? status : "200"));
    }
  });
  const auto folder = std::filesystem::temp_directory_path() /
                      absl::StrCat("invalid-status-", getpid());
  std::filesystem::create_directories(folder);
  {
    HostedPlatform platform;
    platform.Put("op/config", kConfiguration);
    HostedNode callers("callers", platform.store_address(), folder);
    HostedNode beside_server("server", platform.store_address(), folder,
                             server.address().ToString());
    if (faulty == Faulty::kNode)
      beside_server.RestartBehind(server.address());
    REQUIRE(WaitUntil(
        [&] { return callers.IsReady() && beside_server.IsReady(); }));
    HostedServer announced;
    announced.service = "dossie";
    announced.instance = "i-1";
    announced.address = server.address();
    beside_server.Announce(announced, "ready", 1);
    REQUIRE(
        WaitUntil([&] { return callers.Call("/i/x", "first").status == kOk; }));
    int served = 0;
    int failed = 0;
    for (int i = 0; i < kRequests; ++i) {
      const int answer = callers.Call("/p/x", absl::StrCat("s-", i)).status;
      served += answer == kOk ? 1 : 0;
      failed += answer == kBadGateway ? 1 : 0;
    }
    CHECK(failed == kRequests / kInvalidEach);
    CHECK(served == kRequests - failed);
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace chestnutport::test
