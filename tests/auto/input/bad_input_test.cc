// Sends malformed, oversized and forged requests to a real node.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "support/fleet.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

constexpr char kDossie[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n";
constexpr char kValidRequest[] =
    "GET /dossie/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: good\r\n\r\n";

std::string Send(const base::SocketAddress& to, const std::string& bytes) {
  RawSocket socket(to);
  socket.Send(bytes);
  return socket.ReadMessage();
}

base::SocketAddress AddressOf(const Vm& vm, const std::string& field) {
  return *base::SocketAddress::Parse(vm.node->WaitForField(field));
}

bool Contains(const std::string& answer, const std::string& text) {
  return answer.find(text) != std::string::npos;
}

TEST_CASE("a node withstands bad input") {
  Fleet fleet;
  Vm& vm = fleet.AddVm("a", "poa-a", "dossie");
  const uint64_t revision = fleet.Confirm(vm, {{"dossie", kDossie}});
  REQUIRE(fleet.WaitReady(vm, 1, revision));

  SECTION("an invalid request gets an error and the outcome not-run") {
    struct Row {
      std::string head;
      std::string error;
    };
    const std::string get = "GET /dossie/1 HTTP/1.1\r\nHost: x\r\n";
    const std::vector<Row> rows = {
        {get + "X: " + std::string(40'000, 'x') + "\r\n\r\n",
         "headers-too-large"},
        {"POST /dossie/1 HTTP/1.1\r\nHost: x\r\nContent-Length: "
         "2000000\r\n\r\n" +
             std::string(2'000'000, 'x'),
         "body-too-large"},
        {get + "Chestnutport-Deadline: soon\r\n\r\n", "invalid-deadline"},
        {get + "Chestnutport-Deadline: -5ms\r\n\r\n", "invalid-deadline"},
        {get + "Chestnutport-Deadline: 0ms\r\n\r\n", "invalid-deadline"},
        {get + "Chestnutport-Deadline: 99999999999999999999s\r\n\r\n",
         "invalid-deadline"},
        {"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-request"},
        {"N@NE /dossie/1 HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-request"},
        {"GET http://127.0.0.1:1/dossie/1 HTTP/1.1\r\nHost: x\r\n\r\n",
         "unknown-service"},
    };
    for (const Row& row : rows) {
      const std::string answer = Send(vm.caller_address, row.head);
      INFO(row.head.substr(0, 100) << " -> " << answer);
      CHECK(Contains(answer, "Chestnutport-Outcome: not-run\r\n"));
      CHECK(Contains(answer, "Chestnutport-Error: " + row.error));
    }
  }

  SECTION("requests without a valid key are refused at each listener") {
    const std::string forged =
        "GET /dossie/1 HTTP/1.1\r\nHost: x\r\nChestnutport-Depth: 0\r\n"
        "Chestnutport-Attempt: 0000000000000001-0000000000000001\r\n"
        "Chestnutport-Target: 00000000000000000000000000000001\r\n"
        "Chestnutport-Deadline: 1s\r\nChestnutport-Service: dossie\r\n"
        "Chestnutport-Signature: 00\r\n\r\n";
    for (const char* listener : {"peer", "control", "operator"}) {
      for (const std::string& bytes : {forged, std::string(kValidRequest)}) {
        const std::string answer = Send(AddressOf(vm, listener), bytes);
        INFO(listener << ": " << answer);
        CHECK(answer.starts_with("HTTP/1.1 4"));
      }
    }
  }

  SECTION(
      "malformed bytes get an error or a closed connection at any listener") {
    const std::vector<std::string> malformed = {
        std::string("\0\xff\x16\x03\x01\r\n\r\n", 9), "GET\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
        "chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nX: " + std::string(200'000, 'x'),
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n{}{}{"};
    for (const char* listener :
         {"caller", "peer", "control", "operator", "server"}) {
      for (const std::string& bytes : malformed) {
        RawSocket socket(AddressOf(vm, listener));
        socket.Send(bytes);
        socket.CloseWriting();
        const std::string answer = socket.ReadToEnd();
        INFO(listener << ": " << bytes.substr(0, 40) << " -> " << answer);
        CHECK((answer.empty() || answer.starts_with("HTTP/1.1 4") ||
               answer.starts_with("HTTP/1.0 4")));
      }
    }
  }

  SECTION("many incomplete requests do not block other callers for good") {
    constexpr size_t kConnections = 1500;
    std::vector<RawSocket> connections;
    connections.reserve(kConnections);
    for (size_t i = 0; i < kConnections; ++i) {
      connections.emplace_back(vm.caller_address);
      connections.back().Send("GET /dossie/1 HT");
    }
    connections.clear();
  }

  const std::string answer = Send(vm.caller_address, kValidRequest);
  INFO(answer);
  CHECK(answer.starts_with("HTTP/1.1 200 OK"));
  CHECK_FALSE(vm.node->WaitForExit(std::chrono::seconds(0)));
}

}  // namespace
}  // namespace chestnutport::test
