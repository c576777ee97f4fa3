// Guards against a server that gets more requests than the rate that it states.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <mutex>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/time.h"
#include "support/hosted_node.h"
#include "support/hosted_platform.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 16;
constexpr seconds kWindow(4);
// In any window a server may get this many times what it stated, and some more.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
// Other nodes have to keep to a limit this long after they passed it on.
constexpr milliseconds kNotice(500);
constexpr milliseconds kWork(100);

constexpr char kConfiguration[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["r","a.example","/p/","idempotent","2s","400ms",1,"dossie",2]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200]]},"limits":{}})";

double Allowed(double rate) {
  return kAllowedFactor * rate * kWindow.count() + kAllowedExtra;
}

// Returns the largest number of `arrivals`, from `begin` on, in any window.
size_t MaxArrivals(const std::vector<Instant>& arrivals, Instant begin) {
  size_t most = 0;
  for (auto first = std::ranges::lower_bound(arrivals, begin);
       first != arrivals.end(); ++first) {
    const auto end = std::ranges::lower_bound(arrivals, *first + kWindow);
    most = std::max(most, static_cast<size_t>(end - first));
  }
  return most;
}

bool WaitUntilTime(Instant time) {
  return WaitUntil([&] { return base::Clock::now() >= time; });
}

// Callers at one node, and the only server beside another.
class LimitedServer {
 public:
  LimitedServer()
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("rate-limit-", getpid())),
        server_(platform_.AddServer("dossie", "i-1")) {
    std::filesystem::create_directories(folder_);
    platform_.Put("op/config", kConfiguration);
    callers_node_ = std::make_unique<HostedNode>(
        "callers", platform_.store_address(), folder_);
    server_node_ = std::make_unique<HostedNode>(
        "server", platform_.store_address(), folder_);
    platform_.Run([&] {
      server_.defer_response = [this](const net::HttpRequest& request,
                                      net::Reply& reply) {
        Defer(request, reply);
        return true;
      };
    });
    REQUIRE(WaitUntil(
        [&] { return callers_node_->IsReady() && server_node_->IsReady(); }));
    server_node_->Announce(server_, "ready", ++sequence_);
    REQUIRE(WaitUntil(
        [&] { return callers_node_->Call("/p/x", "first").status == 200; }));
  }
  ~LimitedServer() {
    StopCalls();
    callers_node_.reset();
    server_node_.reset();
    std::filesystem::remove_all(folder_);
  }
  LimitedServer(const LimitedServer&) = delete;
  LimitedServer& operator=(const LimitedServer&) = delete;

  // The server states this limit in responses to requests; none if empty.
  void State(const std::string& limit) {
    platform_.Run([&] {
      server_.notices.clear();
      if (!limit.empty())
        server_.notices.push_back({"Server-Limit", limit});
    });
  }
  void RestartServerNode() {
    server_node_->Restart();
    REQUIRE(WaitUntil([&] { return server_node_->IsReady(); }));
    server_node_->Announce(server_, "ready", ++sequence_);
  }

  // Sends as many calls as kCallers connections carry, until StopCalls().
  void StartCalls() {
    is_calling_ = true;
    for (int i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, i] {
        for (int n = 0; is_calling_; ++n)
          callers_node_->Call("/p/x", absl::StrCat("c", i, "-", n));
      });
    }
  }
  void StopCalls() {
    is_calling_ = false;
    for (std::thread& caller : callers_)
      caller.join();
    callers_.clear();
  }
  // Waits until the server has got `count` more requests.
  bool WaitForRequests(size_t count) {
    const size_t before = Arrivals().size();
    return WaitUntil([&] { return Arrivals().size() >= before + count; });
  }
  std::vector<Instant> Arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  // Answers after kWork.
  void Defer(const net::HttpRequest& request, net::Reply& reply) {
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(base::Clock::now());
    }
    const auto held = std::make_shared<net::Reply>(std::move(reply));
    platform_.CallAfter(kWork, [this, request, held] {
      held->Send(HostedPlatform::DefaultAnswer(server_, request));
    });
  }

  std::filesystem::path folder_;
  std::mutex mutex_;
  std::vector<Instant> arrivals_;
  HostedPlatform platform_;
  HostedServer& server_;
  std::unique_ptr<HostedNode> callers_node_;
  std::unique_ptr<HostedNode> server_node_;
  int sequence_ = 0;
  std::atomic<bool> is_calling_ = false;
  std::vector<std::thread> callers_;
};

TEST_CASE("a server states the requests per second that it accepts") {
  constexpr double kRate = 2;
  LimitedServer server;
  server.State("2.0");
  server.StartCalls();
  REQUIRE(server.WaitForRequests(1));
  const Instant stated_at = base::Clock::now() + kWork + kNotice;

  SECTION("and gets no more") {
    REQUIRE(WaitUntilTime(stated_at + kWindow));
    server.StopCalls();
    CHECK(MaxArrivals(server.Arrivals(), stated_at) <= Allowed(kRate));
  }
  SECTION("and gets no more while the node beside it restarts") {
    REQUIRE(WaitUntilTime(stated_at + kWindow / 4));
    server.RestartServerNode();
    const size_t before = server.Arrivals().size();
    REQUIRE(server.WaitForRequests(3));
    CHECK(server.Arrivals().size() >= before + 3);
    server.StopCalls();
    CHECK(MaxArrivals(server.Arrivals(), stated_at) <= Allowed(kRate));
  }
  SECTION("until it states a higher rate") {
    server.State("500");
    CHECK(server.WaitForRequests(100));
  }
  SECTION("until it states none") {
    server.State("");
    CHECK(server.WaitForRequests(100));
  }
}

}  // namespace
}  // namespace chestnutport::test
