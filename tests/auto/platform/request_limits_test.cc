// Guards requests at the limits of the configuration against being refused, and
// nodes against those beyond them, by amounts around each limit.
#include <catch2/catch.hpp>
#include <filesystem>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/hosted_node.h"
#include "support/raw_socket.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

constexpr int kOk = 200;
constexpr unsigned kSeed = 20261207;
constexpr size_t kMaxHeaderBytes = 16 * 1024;
constexpr size_t kMaxBodyBytes = 1024 * 1024;
// Of a trailer: what came with the end of the limit is read.
constexpr size_t kReadSize = 16 * 1024;

constexpr char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["p","a.example","/p/","non_idempotent","9s","400ms",1,"dossie",2],)"
    R"(["i","a.example","/i/","idempotent","9s","400ms",1,"dossie",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200]]},"limits":)"
    R"({"maxHeaderBytes":16384,"maxBodyBytes":1048576}})";

// Callers' node, and another one beside the only server.
class TwoNodes {
 public:
  TwoNodes()
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("request-limits-", getpid())) {
    std::filesystem::create_directories(folder_);
    platform_.Put("op/config", kConfiguration);
    callers_ = std::make_unique<HostedNode>("callers",
                                            platform_.store_address(), folder_);
    beside_server_ = std::make_unique<HostedNode>(
        "server", platform_.store_address(), folder_);
    server_ = &platform_.AddServer("dossie", "i-1");
    REQUIRE(WaitUntil(
        [&] { return callers_->IsReady() && beside_server_->IsReady(); }));
    beside_server_->Announce(*server_, "ready", 1);
    REQUIRE(WaitUntil(
        [&] { return callers_->Call("/i/x", "first").status == kOk; }));
  }
  ~TwoNodes() {
    callers_.reset();
    beside_server_.reset();
    std::filesystem::remove_all(folder_);
  }
  TwoNodes(const TwoNodes&) = delete;
  TwoNodes& operator=(const TwoNodes&) = delete;

  RawSocket Connect() { return RawSocket(callers_->caller_address()); }
  size_t RequestCount() { return platform_.RequestCount(*server_); }

 private:
  std::filesystem::path folder_;
  HostedPlatform platform_;
  std::unique_ptr<HostedNode> callers_;
  std::unique_ptr<HostedNode> beside_server_;
  HostedServer* server_ = nullptr;
};

std::string Begin(const std::string& method, const std::string& path) {
  return absl::StrCat(method, " ", path,
                      " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: l\r\n"
                      "Deadline-Ms: 8000\r\n");
}

// A request whose head has `bytes` and as many fields as possible.
std::string SmallFields(size_t bytes) {
  constexpr char kField[] = "a: b\r\n";
  constexpr size_t kLast = 13;
  std::string request = Begin("GET", "/i/x");
  while (request.size() + kLast <= bytes)
    request += kField;
  request += "p: ";
  return request + std::string(bytes - request.size() - 4, 'p') + "\r\n\r\n";
}

std::string Chunked(const std::string& body) {
  return Begin("POST", "/p/x") + "Transfer-Encoding: chunked\r\n\r\n" + body;
}

std::string Repeat(const std::string& text, size_t count) {
  std::string all;
  for (size_t i = 0; i < count; ++i)
    all += text;
  return all;
}

bool IsServed(const std::string& answer) {
  return absl::StartsWith(answer, "HTTP/1.1 200");
}

// Just below the limit, at it, just above it, and far above it.
std::vector<size_t> AmountsAround(size_t limit) {
  std::mt19937 random(kSeed);
  const auto draw = [&](size_t least, size_t most) {
    return std::uniform_int_distribution<size_t>(least, most)(random);
  };
  return {limit - draw(1, 64), limit, limit + draw(1, 64), limit * draw(2, 8)};
}

TEST_CASE("a head of many fields") {
  TwoNodes nodes;
  for (const size_t bytes : AmountsAround(kMaxHeaderBytes)) {
    INFO(bytes << " bytes");
    RawSocket caller = nodes.Connect();
    caller.Send(SmallFields(bytes));
    const std::string answer = caller.ReadMessage();
    if (bytes <= kMaxHeaderBytes)
      CHECK(IsServed(answer));
    else
      CHECK(absl::StartsWith(answer, "HTTP/1.1 431"));
  }
  CHECK(nodes.RequestCount() == 3);
}

TEST_CASE("requests with the largest heads behind one another") {
  constexpr int kRequests = 10;
  TwoNodes nodes;
  RawSocket caller = nodes.Connect();
  caller.Send(Repeat(SmallFields(kMaxHeaderBytes), kRequests));
  for (int i = 0; i < kRequests; ++i)
    CHECK(IsServed(caller.ReadMessage()));
}

TEST_CASE("a body in chunks of one byte") {
  TwoNodes nodes;
  for (const size_t bytes : AmountsAround(kMaxBodyBytes)) {
    INFO(bytes << " bytes");
    RawSocket caller = nodes.Connect();
    caller.Send(Chunked(Repeat("1\r\na\r\n", bytes) + "0\r\n\r\n"));
    const std::string answer = caller.ReadMessage();
    if (bytes <= kMaxBodyBytes)
      CHECK(IsServed(answer));
    else
      CHECK(absl::StartsWith(answer, "HTTP/1.1 413"));
  }
}

TEST_CASE("a trailer, and the extension of a chunk") {
  TwoNodes nodes;
  const bool is_trailer = GENERATE(true, false);
  for (const size_t bytes : AmountsAround(kMaxHeaderBytes)) {
    INFO(bytes << " bytes of " << (is_trailer ? "a trailer" : "an extension"));
    RawSocket caller = nodes.Connect();
    caller.Send(Chunked(
        is_trailer ? absl::StrCat("1\r\na\r\n0\r\nt: ",
                                  std::string(bytes - 7, 't'), "\r\n\r\n")
                   : absl::StrCat("1;", std::string(bytes - 4, 'e'),
                                  "\r\na\r\n0\r\n\r\n")));
    const std::string answer = caller.ReadMessage();
    if (bytes <= kMaxHeaderBytes)
      CHECK(IsServed(answer));
    else if (bytes > kMaxHeaderBytes + kReadSize)
      CHECK(absl::StartsWith(answer, "HTTP/1.1 431"));
    else
      CHECK_FALSE(answer.empty());
  }
}

}  // namespace
}  // namespace chestnutport::test
