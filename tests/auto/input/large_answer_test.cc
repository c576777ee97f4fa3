// Answers that exceed the buffers of a node are streamed through real nodes.
#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "support/fleet.h"
#include "support/raw_server.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

constexpr char kDossie[] =
    "[service]\nname = dossie\n[match]\npath_prefix = /dossie/\n"
    "[requests]\nrepeatable = GET /dossie/\n";
constexpr char kHealthy[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"healthy\": true}";
constexpr size_t kPartSize = 64 * 1024;
constexpr size_t kPartCount = 1024;
constexpr size_t kBodySize = kPartSize * kPartCount;
constexpr size_t kMaxGrowthKilobytes = 4 * 1024;  // Of resident memory.

size_t ResidentKilobytes(const Process& process) {
  std::ifstream file("/proc/" + std::to_string(process.pid()) + "/status");
  std::string word;
  size_t size = 0;
  while (file >> word) {
    if (word == "VmRSS:")
      file >> size;
  }
  return size;
}

// Sends kPartCount parts, or half of them if `truncate`. Stops early if the
// peer closes. Adds the bytes sent to `sent`.
void SendParts(RawSocket& connection,
               bool truncate,
               std::atomic<size_t>& sent) {
  const std::string part(kPartSize, 'x');
  for (size_t i = 0; i < (truncate ? kPartCount / 2 : kPartCount); ++i) {
    if (!connection.Send(part))
      return;
    sent += kPartSize;
  }
}

TEST_CASE("a large answer goes through two nodes") {
  std::atomic<size_t> sent = 0;
  std::atomic<bool> has_finished = false;
  RawServer server([&](RawSocket& connection, int) {
    while (true) {
      const std::string head = connection.ReadUntil("\r\n\r\n");
      if (head.empty())
        return;
      if (head.find("X-Request-Id") == std::string::npos) {
        connection.Send(kHealthy);
        continue;
      }
      const bool is_known = head.find("known") != std::string::npos;
      connection.Send(is_known ? absl::StrCat("HTTP/1.1 200 OK\r\n"
                                              "Content-Length: ",
                                              kBodySize, "\r\n\r\n")
                               : "HTTP/1.1 200 OK\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n");
      if (!is_known)
        connection.Send(absl::StrCat(absl::Hex(kBodySize), "\r\n"));
      SendParts(connection, head.find("cut") != std::string::npos, sent);
      has_finished = true;
      if (head.find("cut") != std::string::npos)
        return;
      if (!is_known)
        connection.Send("\r\n0\r\n\r\n");
    }
  });
  Fleet fleet;
  Vm& a = fleet.AddVm("a", "poa-a", "");
  Vm& b = fleet.AddVm("b", "poa-b", "dossie",
                      {"--announce_as=" + server.address().ToString()});
  const uint64_t revision = fleet.Confirm(a, {{"dossie", kDossie}});
  REQUIRE(fleet.WaitReady(a, 1, revision));
  const size_t memory_a = ResidentKilobytes(*a.node);
  const size_t memory_b = ResidentKilobytes(*b.node);
  RawSocket caller(a.caller_address);
  const std::string length = GENERATE("known", "unknown");
  const auto send_request = [&](const std::string& what) {
    caller.Send("GET /dossie/" + what +
                " HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\n\r\n");
  };
  INFO(length);

  SECTION("whole, with bounded memory") {
    send_request(length == "known" ? "known" : "chunks");
    size_t received = caller.ReadUntil("\r\n\r\n").size();
    while (received < kBodySize) {
      const std::string part = caller.ReadSome(kPartSize);
      REQUIRE_FALSE(part.empty());
      received += part.size();
    }
    CHECK(ResidentKilobytes(*a.node) < memory_a + kMaxGrowthKilobytes);
    CHECK(ResidentKilobytes(*b.node) < memory_b + kMaxGrowthKilobytes);
  }
  SECTION("back pressure of a caller that does not read reaches the server") {
    send_request(length == "known" ? "known" : "chunks");
    constexpr int kTimesUnchanged = 100;
    int unchanged = 0;
    size_t last_sent = 0;
    REQUIRE(WaitUntil([&] {
      unchanged = sent > 0 && sent == last_sent ? unchanged + 1 : 0;
      last_sent = sent;
      return unchanged == kTimesUnchanged;
    }));
    CHECK_FALSE(has_finished);
    CHECK(ResidentKilobytes(*a.node) < memory_a + kMaxGrowthKilobytes);
    CHECK(ResidentKilobytes(*b.node) < memory_b + kMaxGrowthKilobytes);

    SECTION("and the server sees when the caller disconnects") {
      caller.Close();
      CHECK(WaitUntil([&] { return has_finished.load(); }));
      CHECK(sent < kBodySize);
    }
  }
  SECTION("truncated, so that the caller can detect it") {
    send_request(length == "known" ? "known-cut" : "cut");
    const std::string answer = caller.ReadToEnd();
    CHECK(answer.starts_with("HTTP/1.1 200 OK"));
    CHECK(answer.size() < kBodySize);
    CHECK_FALSE(answer.ends_with("\r\n0\r\n\r\n"));
  }
}

}  // namespace
}  // namespace chestnutport::test
