// Guards against nodes that end over their memory limit, run out of descriptors
// or stop answering because of clients that send what no well-behaved client
// sends.
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/hosted_node.h"
#include "support/hostile_crowd.h"
#include "support/process_memory.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = 1024 * kKilobyte;
constexpr int kOk = 200;
// The memory that the node is told it may take, in megabytes.
constexpr size_t kMemoryLimit = 112;
// Sockets that a node of the smallest machine may have.
constexpr size_t kMaxDescriptors = 3900;
constexpr size_t kMaxHeaderBytes = 16 * kKilobyte;
// Of an answer that a node does not stream.
constexpr size_t kLargeAnswer = 60 * kKilobyte;

constexpr char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["p","a.example","/p/","non_idempotent","2s","400ms",1,"dossie",2],)"
    R"(["i","a.example","/i/","idempotent","2s","400ms",1,"dossie",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200]]},"limits":)"
    R"({"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

std::string Head(const std::string& method, const std::string& path) {
  return absl::StrCat(method, " ", path,
                      " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: h\r\n"
                      "Deadline-Ms: 2000\r\n");
}

std::string ChunkedHead(const std::string& path) {
  return Head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
}

// A whole request of `bytes` that consists of as many fields as possible.
std::string RequestOfSmallFields(size_t bytes) {
  std::string request = Head("GET", "/i/x");
  while (request.size() + 8 <= bytes)
    request += "a: b\r\n";
  return request + "\r\n";
}

std::string RequestOfOneField(size_t bytes) {
  return absl::StrCat(Head("GET", "/i/x"), "X-Large: ", std::string(bytes, 'a'),
                      "\r\n\r\n");
}

std::vector<HostileKind> Kinds() {
  const std::string chunk = ChunkedHead("/p/x") + "4\r\nbody\r\n";
  const std::string small_fields = RequestOfSmallFields(kMaxHeaderBytes - 100);
  const std::string one_field = RequestOfOneField(15'000);
  return {
      {"trailers without end", 8, chunk + "0\r\n", "X-Many: a\r\n",
       24 * kMegabyte},
      {"a line of a trailer without end", 8, chunk + "0\r\nX-Long: ", "aaaa",
       24 * kMegabyte},
      {"the extension of a chunk without end", 8, chunk + "4;x=", "aaaa",
       24 * kMegabyte},
      {"the length of a chunk without end", 8, chunk, "0000", 24 * kMegabyte},
      {"trailers without end behind a refused request", 8,
       ChunkedHead("/none/x") + "4\r\nbody\r\n0\r\n", "X-Many: a\r\n",
       24 * kMegabyte},
      {"unfinished heads of many fields", 600, Head("GET", "/i/x"), "a: b\r\n",
       kMaxHeaderBytes - 100},
      {"unfinished heads of one field", 2000,
       Head("GET", "/i/x") + "X-Large: ", "a", kMaxHeaderBytes - 100},
      {"requests behind one another, of many fields each", 100, "",
       small_fields, 40 * small_fields.size()},
      {"requests behind one another, of one large field each", 300, "",
       one_field, 40 * one_field.size()},
      {"the same, read as fast as they are answered", 300, "", one_field,
       40 * one_field.size(), "", true},
      {"whole trailers of 800 KB", 8, chunk + "0\r\n", "X-Many: a\r\n",
       800 * kKilobyte, "\r\n", true},
      {"heads without end", 100, Head("GET", "/i/x"), "X-Many: a\r\n",
       2 * kMegabyte},
      {"blank lines without end", 100, "", "\r\n", 2 * kMegabyte},
      {"a line without end", 100, "GET /", "aaaa", 2 * kMegabyte},
      {"unfinished bodies", 300,
       Head("POST", "/p/x") + "Content-Length: 60000\r\n\r\n", "aaaa", 50'000},
      {"bodies in chunks of one byte", 8, ChunkedHead("/p/x"), "1\r\na\r\n",
       12 * kMegabyte, "0\r\n\r\n", true},
      {"connections on which nothing comes", 2500, "", "", 0},
      {"connections with half a line", 2500, "GE", "", 2},
  };
}

// A node beside a server, with as little memory as possible.
class SmallMachine {
 public:
  SmallMachine()
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("hostile-", getpid())) {
    std::filesystem::create_directories(folder_);
    platform.Put("op/config", kConfiguration);
    node = std::make_unique<HostedNode>(
        "n", platform.store_address(), folder_, "127.0.0.1:0", "one",
        absl::StrCat("[memory]\nlimit = ", kMemoryLimit, "\n"));
    server = &platform.AddServer("dossie", "i-1");
    platform.Run([&] {
      server->answer = [this](const net::HttpRequest& request) {
        net::HttpAnswer answer =
            HostedPlatform::DefaultAnswer(*server, request);
        if (request.target == "/i/large")
          answer.body = std::string(kLargeAnswer, 'a');
        return answer;
      };
    });
    REQUIRE(WaitUntil([&] { return node->IsReady(); }));
    node->Announce(*server, "ready", 1);
    REQUIRE(
        WaitUntil([&] { return node->Call("/i/x", "first").status == kOk; }));
  }
  ~SmallMachine() {
    node.reset();
    std::filesystem::remove_all(folder_);
  }
  SmallMachine(const SmallMachine&) = delete;
  SmallMachine& operator=(const SmallMachine&) = delete;

  bool IsRunning() {
    return !node->process().WaitForExit(seconds(0)).has_value();
  }
  // Whether a new caller gets its answer.
  bool Serves() {
    return WaitUntil([&] { return Call().status == kOk; });
  }
  void CheckBounds() {
    REQUIRE(IsRunning());
    CHECK(PeakMemory(node->process()) < kMemoryLimit * kKilobyte);
    CHECK(OpenDescriptors(node->process()) < kMaxDescriptors);
  }

  HostedPlatform platform;
  std::unique_ptr<HostedNode> node;
  HostedServer* server = nullptr;

 private:
  net::HttpAnswer Call() {
    RawSocket socket(node->caller_address());
    socket.Send(Head("GET", "/i/x") + "\r\n");
    const std::string text = socket.ReadMessage();
    return {.status = absl::StartsWith(text, "HTTP/1.1 200") ? kOk : 0};
  }

  std::filesystem::path folder_;
};

// A well-behaved caller on a kept connection, until it is destroyed.
class OrdinaryCaller {
 public:
  explicit OrdinaryCaller(const base::SocketAddress& to)
      : thread_([this, to] { CallOn(to); }) {}
  ~OrdinaryCaller() { Stop(); }

  void Stop() {
    is_over_ = true;
    if (thread_.joinable())
      thread_.join();
  }
  // Requests that were sent and got no answer.
  int lost() const { return lost_; }

 private:
  void CallOn(const base::SocketAddress& to) {
    RawSocket socket(to);
    while (!is_over_) {
      socket.Send(Head("GET", "/i/x") + "\r\n");
      if (!absl::StartsWith(socket.ReadMessage(), "HTTP/1.1 ")) {
        ++lost_;
        return;
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  std::atomic<bool> is_over_ = false;
  std::atomic<int> lost_ = 0;
  std::thread thread_;
};

void Play(const HostileKind& kind, const std::string& listener) {
  INFO(kind.name << ", at the listener named " << listener);
  SmallMachine machine;
  {
    OrdinaryCaller ordinary(machine.node->caller_address());
    HostileCrowd crowd(machine.node->ListenAddress(listener), kind);
    crowd.Send();
    machine.CheckBounds();
    CHECK(machine.Serves());
    ordinary.Stop();
    CHECK(ordinary.lost() == 0);
  }
  CHECK(machine.Serves());
  machine.CheckBounds();
}

TEST_CASE("a crowd at the callers' listener") {
  const auto kinds = Kinds();
  const size_t i = GENERATE_COPY(range(size_t{0}, kinds.size()));
  Play(kinds[i], "caller");
}

TEST_CASE("a crowd at the listener for other nodes") {
  const auto kinds = Kinds();
  const size_t i = GENERATE_COPY(range(size_t{0}, kinds.size()));
  Play(kinds[i], "peer");
}

TEST_CASE("a crowd at the listeners for servers and operators") {
  const auto kinds = Kinds();
  const size_t i = GENERATE(0, 2, 5, 7);
  const auto listener = GENERATE("operator", "server", "control");
  Play(kinds[i], listener);
}

TEST_CASE("answers that nobody reads") {
  constexpr int kConnections = 100;
  constexpr int kRequests = 32;
  constexpr size_t kAtOnce = 10;
  SmallMachine machine;
  {
    OrdinaryCaller ordinary(machine.node->caller_address());
    std::vector<RawSocket> clients;
    for (int i = 0; i < kConnections; ++i)
      clients.emplace_back(machine.node->caller_address());
    size_t sent = 0;
    for (int round = 0; round < kRequests; ++round) {
      for (RawSocket& client : clients) {
        client.Send(Head("GET", "/i/large") + "\r\n");
        // The server shall run them all, as far as it gets them.
        if (++sent % kAtOnce == 0)
          std::this_thread::sleep_for(milliseconds(5));
      }
    }
    machine.CheckBounds();
    CHECK(machine.Serves());
    ordinary.Stop();
    CHECK(ordinary.lost() == 0);
  }
  CHECK(machine.Serves());
  machine.CheckBounds();
}

TEST_CASE("connections that are kept after a large answer") {
  constexpr int kConnections = 1500;
  SmallMachine machine;
  std::vector<RawSocket> clients;
  for (int i = 0; i < kConnections; ++i) {
    clients.emplace_back(machine.node->caller_address());
    clients.back().Send(Head("GET", "/i/large") + "\r\n");
    clients.back().ReadMessage();
  }
  machine.CheckBounds();
  CHECK(machine.Serves());
}

TEST_CASE("large bodies of strangers at the listener for operators") {
  SmallMachine machine;
  RawSocket stranger(machine.node->ListenAddress("operator"));
  stranger.Send(
      "POST /v1/confirm HTTP/1.1\r\nHost: x\r\n"
      "Content-Length: 10000000\r\n\r\n");
  CHECK(absl::StartsWith(stranger.ReadMessage(), "HTTP/1.1 401"));
  machine.CheckBounds();
}

}  // namespace
}  // namespace chestnutport::test
