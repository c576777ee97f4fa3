// Guards against a server whose bytes never end: a node must answer the caller
// in time, never pass on a part as a whole answer, close the connection, keep
// its memory within the budget and go on with the requests of others.
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/hosted_node.h"
#include "support/process_memory.h"
#include "support/raw_server.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr milliseconds kDeadline(1500);
constexpr milliseconds kLateAnswer(500);  // That an answer may come later.
constexpr size_t kMemoryBudgetKilobytes = 128 * 1024;  // Of a node.
constexpr int kCallers = 6;
constexpr int kOtherCalls = 20;

constexpr char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["p","a.example","/p/","idempotent","1500ms","400ms",1,"dossie",2],)"
    R"(["q","a.example","/q/","idempotent","1500ms","400ms",1,"laudo",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200],["laudo","/healthz",200]]},)"
    R"("limits":{}})";

struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string repeated;
};

const EndlessAnswer kAnswers[] = {
    {"bytes that are no answer", "", "spam"},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"answers to other requests", "",
     "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 2\r\n\r\nno"},
    {"the body of an answer to another request",
     "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n\r\n", "body"},
    {"a body without a signature", "HTTP/1.1 200 OK\r\n\r\n", "body"},
    {"the body of a rejection", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n",
     "body"},
    {"a signed body", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n",
     "body"},
    {"a signed body in chunks",
     "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "4\r\nbody\r\n"},
    {"the extension of a chunk",
     "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n4;x=",
     "aaaa"},
    {"the trailer of a signed body",
     "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
     "X-Many: a\r\n"},
};

std::string Repeat(const std::string& text) {
  std::string all;
  while (all.size() < 16 * 1024)
    all += text;
  return all;
}

// Two nodes: one beside a server whose bytes never end, the other beside a
// sound server of another service.
class EndlessFleet {
 public:
  explicit EndlessFleet(const EndlessAnswer& answer,
                        bool is_request_endless,
                        bool is_health_check_endless)
      : endless_([=, this](RawSocket& connection, int) {
          while (true) {
            const std::string head = connection.ReadUntil("\r\n\r\n");
            if (head.empty())
              return;
            const bool is_health_check = absl::StrContains(head, "/healthz");
            if (is_health_check ? is_health_check_endless : is_request_endless)
              SendEndless(connection, answer);
            else
              connection.Send(absl::StrCat(
                  "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
                  "Instance-Id: i-1\r\nInstance-Load: 0,0,12,100\r\n",
                  "Content-Length: 2\r\n\r\nok"));
          }
        }),
        folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("endless-", getpid())) {
    std::filesystem::create_directories(folder_);
    platform_.Put("op/config", kConfiguration);
    beside_endless =
        std::make_unique<HostedNode>("endless", platform_.store_address(),
                                     folder_, endless_.address().ToString());
    beside_sound = std::make_unique<HostedNode>(
        "sound", platform_.store_address(), folder_);
    REQUIRE(WaitUntil(
        [&] { return beside_endless->IsReady() && beside_sound->IsReady(); }));
    HostedServer& sound = platform_.AddServer("laudo", "i-2");
    beside_sound->Announce(sound, "ready", 1);
    // Discovery finds the server if its health checks end. If not, a second
    // announcement has to confirm the first one.
    HostedServer endless;
    endless.service = "dossie";
    endless.instance = "i-1";
    endless.address = endless_.address();
    int sequence = 0;
    REQUIRE(WaitUntil([&] {
      if (is_health_check_endless)
        beside_endless->Announce(endless, "ready", ++sequence);
      return beside_endless->Call("/q/x", "first").status == kOk &&
             beside_sound->Call("/p/x", "first").status != 503;
    }));
  }
  ~EndlessFleet() {
    beside_endless.reset();
    beside_sound.reset();
    std::filesystem::remove_all(folder_);
  }
  EndlessFleet(const EndlessFleet&) = delete;
  EndlessFleet& operator=(const EndlessFleet&) = delete;

  // Connections on which the server still sends.
  int sending() const { return sending_; }

  std::unique_ptr<HostedNode> beside_endless;
  std::unique_ptr<HostedNode> beside_sound;

 private:
  void SendEndless(RawSocket& connection, const EndlessAnswer& answer) {
    const std::string repeated = Repeat(answer.repeated);
    ++sending_;
    bool is_open = connection.Send(answer.begin);
    while (is_open)
      is_open = connection.Send(repeated);
    --sending_;
  }

  std::atomic<int> sending_ = 0;
  HostedPlatform platform_;
  RawServer endless_;
  std::filesystem::path folder_;
};

// Returns whether the caller got an error or a connection that breaks off, and
// in time.
bool IsSafeAndInTime(const HostedNode& node, const std::string& id) {
  const base::Instant started_at = base::Clock::now();
  RawSocket socket(node.caller_address());
  socket.Send(absl::StrCat(
      "GET /p/x HTTP/1.1\r\nHost: a.example\r\n", "Request-Id: ", id,
      "\r\nDeadline-Ms: ", kDeadline.count(), "\r\nConnection: close\r\n\r\n"));
  // Keeps the head and the end only.
  std::string begin;
  std::string end;
  for (std::string part = socket.ReadSome(64 * 1024); !part.empty();
       part = socket.ReadSome(64 * 1024)) {
    if (begin.size() < 1024)
      begin += part;
    end = (end + part)
              .substr(end.size() + part.size() > 16
                          ? end.size() + part.size() - 16
                          : 0);
  }
  const bool is_in_time =
      base::Clock::now() - started_at <= kDeadline + kLateAnswer;
  const bool is_success = absl::StartsWith(begin, "HTTP/1.1 200");
  const bool is_chunked = absl::StrContains(begin, "chunked");
  const bool is_whole = !is_chunked || absl::EndsWith(end, "\r\n0\r\n\r\n");
  return is_in_time && !begin.empty() && !(is_success && is_whole);
}

TEST_CASE("a server whose answers to requests never end") {
  const EndlessAnswer answer =
      kAnswers[GENERATE(range(size_t{0}, std::size(kAnswers)))];
  INFO(answer.name);
  EndlessFleet fleet(answer, true, false);
  std::atomic<int> safe = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const HostedNode& node =
          i % 2 == 0 ? *fleet.beside_endless : *fleet.beside_sound;
      safe += IsSafeAndInTime(node, absl::StrCat("c-", i)) ? 1 : 0;
    });
  }
  int served = 0;
  for (int i = 0; i < kOtherCalls; ++i) {
    const HostedNode& node =
        i % 2 == 0 ? *fleet.beside_endless : *fleet.beside_sound;
    served += node.Call("/q/x", absl::StrCat("o-", i)).status == kOk ? 1 : 0;
  }
  for (std::thread& caller : callers)
    caller.join();
  CHECK(safe == kCallers);
  CHECK(served == kOtherCalls);
  CHECK(WaitUntil([&] { return fleet.sending() == 0; }, kLateAnswer));
  CHECK(PeakMemory(fleet.beside_endless->process()) < kMemoryBudgetKilobytes);
  CHECK(PeakMemory(fleet.beside_sound->process()) < kMemoryBudgetKilobytes);
}

TEST_CASE("a server whose answers to health checks never end") {
  const EndlessAnswer answer =
      kAnswers[GENERATE(range(size_t{0}, std::size(kAnswers)))];
  INFO(answer.name);
  EndlessFleet fleet(answer, false, true);
  int served = 0;
  for (int i = 0; i < kOtherCalls; ++i) {
    const auto id = absl::StrCat("c-", i);
    served += fleet.beside_sound->Call("/p/x", id).status == kOk ? 1 : 0;
    served += fleet.beside_endless->Call("/q/x", id).status == kOk ? 1 : 0;
  }
  CHECK(served == 2 * kOtherCalls);
  CHECK(PeakMemory(fleet.beside_endless->process()) < kMemoryBudgetKilobytes);
}

}  // namespace
}  // namespace chestnutport::test
