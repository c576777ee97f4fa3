// Guards against a request that crashes every server that runs it. The node
// retries such a request on a second and a third server, as it may be repeated,
// and the caller sends it again with another id through other nodes. If crashes
// are attributed only to the call at hand, each such call looks like any other
// and crashes one to three more servers. In one incident this took down all
// servers of a service within 1.3 s and caused 28 crashes in 70 s. Load was not
// the cause: each crash followed the arrival of the request by its processing
// time, other servers on the same VMs kept answering, and four servers carried
// the whole load for ten seconds while the request was absent.
//
// The nodes must therefore share crash observations by request, and quarantine
// the request for all callers and nodes.
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/time.h"
#include "quarantine/evidence_codec.h"
#include "support/hosted_node.h"
#include "support/hosted_platform.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

using nlohmann::json;

constexpr size_t kNodes = 4;
constexpr int kSlots = 12;  // As announced by the servers.
// A request that crashed three servers may reach at most three more once every
// node lists the third crash, which must happen within kDisseminationLimit.
constexpr int kCrashesToDetect = 3;
constexpr int kMaxFurtherServers = 3;
constexpr std::chrono::seconds kDisseminationLimit(3);
constexpr int kRetries = 20;
constexpr char kFatalPath[] = "/p/fatal";
// As kFatalPath, but not repeatable: the node sends it to one server only.
constexpr char kFatalWrite[] = "/w/fatal";
// A harmless request whose server in turn calls kFatalPath.
constexpr char kOuterPath[] = "/p/outer";

constexpr char kDocument[] =
    R"({"version":7,"routes":{"columns":["name","host","prefix","routeKind",)"
    R"("timeout","targetLatency","priority","service","attempts"],"rows":)"
    R"([["r","a.example","/p/","idempotent","2s","400ms",1,"dossie",3],)"
    R"(["w","a.example","/w/","non_idempotent","2s","400ms",1,"dossie",3]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections"],)"
    R"("rows":[["dossie","/healthz",200]]},"limits":{}})";

bool IsFatal(const net::HttpRequest& request) {
  return request.target == kFatalPath || request.target == kFatalWrite;
}

// Nodes with one server each, and a caller that repeatedly sends a request that
// crashes the server that runs it.
class CrashScenario {
 public:
  CrashScenario()
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("ends-", getpid())) {
    std::filesystem::create_directories(folder_);
    platform_.Put("op/config", kDocument);
    for (size_t i = 0; i < kNodes; ++i) {
      servers_[i] = &platform_.AddServer("dossie", absl::StrCat("i-", i, "-0"));
      servers_[i]->crashes_on = [](const net::HttpRequest& request) {
        return IsFatal(request);
      };
      servers_[i]->defer_response = [this, i](const net::HttpRequest& request,
                                              net::Reply& reply) {
        if (request.target != kOuterPath)
          return false;
        CallFrom(i, request, std::move(reply));
        return true;
      };
    }
    StartNodes();
  }
  ~CrashScenario() {
    std::vector<std::jthread> pending_calls;
    platform_.Run([&] {
      for (HostedServer* server : servers_)
        server->defer_response = nullptr;
      pending_calls.swap(nested_calls_);
    });
    pending_calls.clear();
    for (auto& node : nodes_)
      node.reset();
    std::filesystem::remove_all(folder_);
  }
  CrashScenario(const CrashScenario&) = delete;
  CrashScenario& operator=(const CrashScenario&) = delete;

  // Stops all nodes, then starts them again. Running servers are kept; crashed
  // ones are restarted.
  void RestartNodes() {
    for (auto& node : nodes_)
      node.reset();
    RestartCrashed();
    StartNodes();
  }

  // Returns the requests listed by the quarantine API of a node.
  json ListedRequests(size_t node) {
    return json::parse(nodes_[node]->Operate("GET", "/v1/quarantine").body)
        .at("requests");
  }
  // Returns whether every node lists a request with at least `crashes` crashes.
  bool IsListedEverywhere(size_t crashes) {
    for (size_t node = 0; node < kNodes; ++node) {
      const json listed = ListedRequests(node);
      const bool is_listed =
          std::ranges::any_of(listed, [crashes](const json& request) {
            return request.at("ends").size() >= crashes;
          });
      if (!is_listed)
        return false;
    }
    return true;
  }
  // Returns whether every node lists exactly one request, as quarantined with
  // more crashes than kCrashesToDetect.
  bool IsQuarantinedEverywhere() {
    for (size_t node = 0; node < kNodes; ++node) {
      const json listed = ListedRequests(node);
      if (listed.size() != 1 || listed[0].at("verdict") != "quarantined" ||
          listed[0].at("ends").size() <= kCrashesToDetect) {
        return false;
      }
    }
    return true;
  }
  bool IsListedNowhere() {
    for (size_t node = 0; node < kNodes; ++node) {
      if (!ListedRequests(node).empty())
        return false;
    }
    return true;
  }
  int Release(size_t node, const std::string& fingerprint) {
    const json body = {{"fingerprint", fingerprint}};
    return nodes_[node]->Operate("POST", "/v1/release", body.dump()).status;
  }

  // Returns the number of crashes recorded for the request in the platform's
  // store.
  int StoredCrashes() {
    const auto stored = quarantine::DecodeEvidence(
        platform_.FindValue("/quarantine"), base::Clock::now());
    if (!stored || stored->empty())
      return 0;
    return static_cast<int>(stored->front().crashes.size());
  }

  // Sends the request again as the caller does, with a new id and through the
  // next node, then restarts the servers that it crashed. Returns the status.
  int Retry(const std::string& path = kFatalPath) {
    const size_t node = retries_++ % kNodes;
    const int status =
        nodes_[node]->Call(path, absl::StrCat("f", retries_)).status;
    RestartAndAnnounceCrashed();
    return status;
  }

  // Number of times that the request reached a server, and number of crashes.
  int Arrivals() {
    int arrivals = 0;
    platform_.Run([&] {
      for (const HostedServer* server : servers_)
        arrivals += CountFatal(*server);
    });
    return arrivals;
  }
  int Crashes() {
    int crash_count = 0;
    platform_.Run([&] {
      for (const HostedServer* server : servers_)
        crash_count += server->crash_count;
    });
    return crash_count;
  }

  // Returns the status of each node from the operators' API, one per line.
  std::string Statuses() const {
    std::string text;
    for (const auto& node : nodes_)
      absl::StrAppend(&text, node->Operate("GET", "/v1/status").body, "\n");
    return text;
  }

  // Returns the log lines of all nodes, sorted by time.
  std::string LogLines() {
    std::vector<std::string> lines;
    for (const auto& node : nodes_) {
      std::istringstream output(node->process().Output());
      for (std::string line; std::getline(output, line);)
        lines.push_back(line);
    }
    std::ranges::sort(lines);
    return absl::StrJoin(lines, "\n");
  }

  // Returns whether every node serves requests that are not fatal.
  bool ServesOtherRequests() {
    return WaitUntil([&] {
      return std::ranges::all_of(nodes_, [&](const auto& node) {
        return node->Call("/p/other", absl::StrCat("o", ++other_requests_))
                   .status == 200;
      });
    });
  }

 private:
  // Calls kFatalPath through node `i`, then lets the server of that node answer
  // `request`, whatever the result of the call. Runs on the platform's thread.
  void CallFrom(size_t i, const net::HttpRequest& request, net::Reply reply) {
    auto pending_reply = std::make_shared<net::Reply>(std::move(reply));
    nested_calls_.emplace_back(
        [this, i, request, pending_reply = std::move(pending_reply)]() mutable {
          const std::string name(
              net::FindHeader(request.headers, "Request-Id"));
          nodes_[i]->Call(kFatalPath, name + ".1");
          platform_.Run([&] {
            pending_reply->Send(
                HostedPlatform::DefaultAnswer(*servers_[i], request));
            pending_reply.reset();
          });
        });
  }

  void StartNodes() {
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_[i] = std::make_unique<HostedNode>(
          absl::StrCat("n", i), platform_.store_address(), folder_);
    }
    REQUIRE(WaitUntil([&] { return AreAllReady(); }));
    for (size_t i = 0; i < kNodes; ++i)
      nodes_[i]->Announce(*servers_[i], "ready", 1);
    const bool is_complete = WaitUntil([&] { return IsMembershipComplete(); });
    INFO(Statuses());
    INFO(LogLines());
    REQUIRE(is_complete);
  }

  bool AreAllReady() const {
    return std::ranges::all_of(
        nodes_, [](const auto& node) { return node->IsReady(); });
  }

  // Returns whether every node lists all servers with their slots. Test
  // requests cannot show this, as an idle node prefers its local server.
  bool IsMembershipComplete() const {
    return std::ranges::all_of(nodes_, [](const auto& node) {
      const json status = json::parse(node->Operate("GET", "/v1/status").body);
      const auto serving =
          std::ranges::count_if(status.at("members"), [](const json& member) {
            return member.at("state") == 0 &&
                   member.value("slots", 0) == kSlots;
          });
      return static_cast<size_t>(serving) == kNodes;
    });
  }

  static int CountFatal(const HostedServer& server) {
    return static_cast<int>(std::ranges::count_if(server.requests, IsFatal));
  }

  // Restarts the crashed servers and returns their indices.
  std::vector<size_t> RestartCrashed() {
    std::vector<size_t> crashed;
    for (size_t i = 0; i < kNodes; ++i) {
      bool has_crashed = false;
      platform_.Run([&] { has_crashed = !servers_[i]->listener; });
      if (!has_crashed)
        continue;
      platform_.Restart(*servers_[i], absl::StrCat("i-", i, "-", ++restarts_));
      crashed.push_back(i);
    }
    return crashed;
  }

  void RestartAndAnnounceCrashed() {
    for (const size_t i : RestartCrashed())
      nodes_[i]->Announce(*servers_[i], "ready", 1);
  }

  std::filesystem::path folder_;
  HostedPlatform platform_;
  std::array<HostedServer*, kNodes> servers_{};
  std::array<std::unique_ptr<HostedNode>, kNodes> nodes_;
  std::vector<std::jthread> nested_calls_;  // Calls made by servers.
  size_t retries_ = 0;
  size_t restarts_ = 0;  // Of servers.
  int other_requests_ = 0;
};

TEST_CASE("a request that ends each server that runs it") {
  CrashScenario scenario;
  for (int i = 0; i < kRetries && scenario.Crashes() < kCrashesToDetect; ++i)
    scenario.Retry();
  REQUIRE(
      WaitUntil([&] { return scenario.IsListedEverywhere(kCrashesToDetect); },
                kDisseminationLimit));
  const int arrivals_at_detection = scenario.Arrivals();

  SECTION("reaches few servers once it has ended three") {
    for (int i = 0; i < kRetries; ++i)
      scenario.Retry();
    CHECK(scenario.Arrivals() - arrivals_at_detection <= kMaxFurtherServers);
    CHECK(scenario.Crashes() <= kCrashesToDetect + kMaxFurtherServers);
  }

  SECTION("is held for long with one end more") {
    REQUIRE(WaitUntil([&] {
      scenario.Retry();
      return scenario.Crashes() > kCrashesToDetect;
    }));
    const bool is_quarantined =
        WaitUntil([&] { return scenario.IsQuarantinedEverywhere(); });
    INFO(scenario.Statuses());
    INFO(scenario.LogLines());
    REQUIRE(is_quarantined);
    const int arrivals_in_quarantine = scenario.Arrivals();

    SECTION("which its callers are told at once, as it did not run") {
      for (int i = 0; i < kRetries; ++i)
        CHECK(scenario.Retry() == 503);
      CHECK(scenario.Arrivals() == arrivals_in_quarantine);
    }
    SECTION("which operators are shown at any node, and may end") {
      const json shown = scenario.ListedRequests(2);
      CHECK(shown[0].at("ends")[0].at("node").get<std::string>().size() == 2);
      const std::string fingerprint = shown[0].at("fingerprint");
      CHECK(scenario.Release(1, "nonsense") == 400);
      CHECK(scenario.Release(1, "0123456789abcdef") == 404);
      CHECK(scenario.Release(1, fingerprint) == 200);
      CHECK(WaitUntil([&] { return scenario.IsListedNowhere(); }));
      scenario.Retry();
      CHECK(scenario.Arrivals() > arrivals_in_quarantine);
    }
    SECTION("also when all nodes were started anew") {
      REQUIRE(WaitUntil(
          [&] { return scenario.StoredCrashes() > kCrashesToDetect; }));
      scenario.RestartNodes();
      REQUIRE(WaitUntil([&] { return scenario.IsQuarantinedEverywhere(); },
                        kDisseminationLimit));
      for (int i = 0; i < kRetries; ++i)
        scenario.Retry();
      CHECK(scenario.Arrivals() == arrivals_in_quarantine);
    }
  }

  SECTION("and others are served through every node") {
    CHECK(scenario.ServesOtherRequests());
  }
}

TEST_CASE("a request that calls one that ends each server that runs it") {
  CrashScenario scenario;
  for (int i = 0; i < kRetries && scenario.Crashes() < kCrashesToDetect; ++i)
    scenario.Retry(kOuterPath);
  REQUIRE(
      WaitUntil([&] { return scenario.IsListedEverywhere(kCrashesToDetect); },
                kDisseminationLimit));
  const int arrivals_at_detection = scenario.Arrivals();

  SECTION("is served, and only the one below is held") {
    REQUIRE(WaitUntil([&] {
      scenario.Retry(kOuterPath);
      return scenario.IsQuarantinedEverywhere();
    }));
    std::vector<int> statuses;
    for (int i = 0; i < kRetries; ++i)
      statuses.push_back(scenario.Retry(kOuterPath));
    INFO(scenario.Statuses());
    INFO(scenario.LogLines());
    CHECK(std::ranges::count(statuses, 200) == kRetries);
    CHECK(scenario.Arrivals() - arrivals_at_detection <= kMaxFurtherServers);
    CHECK(scenario.IsQuarantinedEverywhere());
  }
}

TEST_CASE("all nodes are started anew between the second and the third end") {
  CrashScenario scenario;
  scenario.Retry(kFatalWrite);
  scenario.Retry(kFatalWrite);
  REQUIRE(scenario.Crashes() == 2);
  REQUIRE(WaitUntil([&] { return scenario.StoredCrashes() == 2; }));
  scenario.RestartNodes();
  REQUIRE(WaitUntil([&] { return scenario.IsListedEverywhere(2); },
                    kDisseminationLimit));

  SECTION("the request is in quarantine with the third") {
    REQUIRE(WaitUntil([&] { return scenario.Retry(kFatalWrite) == 503; }));
    // The two crashes from before the restart count, so a third one suffices.
    // A retry during its dissemination may cause one more. Without the earlier
    // evidence three further crashes would be needed.
    CHECK(scenario.Crashes() < 2 + kCrashesToDetect);
  }
}

}  // namespace
}  // namespace chestnutport::test
