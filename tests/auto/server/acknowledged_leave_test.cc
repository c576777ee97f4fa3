// Guards against a server that is used after its leave was acknowledged.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http_client/http_client.h"
#include "server/local_server.h"

namespace chestnutport::server {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

// What a server has sent to its node.
struct Message {
  std::string instance;
  int64_t started_at = 0;
  int sequence = 0;
  std::string state;  // Empty in a deregistration.
};

// A node that may be restarted. What it publishes of its server's leave
// outlives it.
class RestartedNode {
 public:
  RestartedNode() : client_(loop_, http_client::HttpClientOptions::Fresh()) {
    Restart();
  }

  void Restart() {
    history_ += "start\n";
    if (server_)
      published_ = server_->departures();
    server_ = std::make_unique<LocalServer>(
        loop_,
        AnnouncementRequirements{.has_instance = true,
                                 .fields = {"zone", "state", "sequence"}},
        [](const std::string& service) { return service == "dossie"; }, [] {},
        [] { return true; });
    REQUIRE(server_->Listen(*base::SocketAddress::Parse("127.0.0.1:0")));
    for (const base::ServerDeparture& departure : published_)
      server_->OnDepartureInherited(departure);
  }

  // Returns whether the node acknowledged the message.
  bool Deliver(const Message& message) {
    history_ += absl::StrCat(message.instance, "@", message.started_at, " ",
                             message.sequence, " ", message.state, "\n");
    json body = {{"born", message.started_at}};
    if (!message.state.empty()) {
      body.update({{"service", "dossie"},
                   {"address", "127.0.0.1:9"},
                   {"zone", "one"},
                   {"slots", 6},
                   {"state", message.state},
                   {"sequence", message.sequence}});
    }
    int status = 0;
    client_.Send(server_->address(),
                 {.method = message.state.empty() ? "DELETE" : "POST",
                  .target = "/v1/server/" + message.instance,
                  .body = body.dump()},
                 std::chrono::seconds(10),
                 [&](http_client::TransferResult result) {
                   status = result.answer.status;
                   loop_.Stop();
                 });
    loop_.Run();
    return status == kOk;
  }

  // Makes the node doubt the server that it uses.
  void Doubt() {
    history_ += "doubt\n";
    server_->OnReplacedReported(server_->state().life, true);
  }

  // Waits until the node withdraws the server because it is silent.
  void WaitForWithdrawal() {
    while (server_->state().announced) {
      loop_.CallAfter(std::chrono::milliseconds(50), [this] { loop_.Stop(); });
      loop_.Run();
    }
  }

  // Whether requests are sent that this instance would run.
  bool Uses(const std::string& instance) const {
    return server_->state().AcceptsRequests() &&
           server_->state().instance == instance;
  }

  // What has happened so far, a line each.
  const std::string& history() const { return history_; }

 private:
  std::string history_;
  net::EventLoop loop_;
  http_client::HttpClient client_;
  std::unique_ptr<LocalServer> server_;
  std::vector<base::ServerDeparture> published_;
};

const Message kEarlier{"i-1", 1000, 40, "ready"};
const Message kReady{"i-1", 2000, 5, "ready"};
const Message kOlderReady{"i-1", 2000, 4, "ready"};
const Message kDraining{"i-1", 2000, 6, "draining"};
const Message kLeft{"i-1", 2000, 0, ""};
const Message kLaterStart{"i-1", 3000, 1, "ready"};

TEST_CASE("a server has left under a name that an earlier start had") {
  RestartedNode node;
  const bool is_earlier_known = GENERATE(false, true);
  const bool has_drained = GENERATE(false, true);
  const bool restarts = GENERATE(false, true);
  if (is_earlier_known)
    REQUIRE(node.Deliver({"i-1", 1000, 39, "ready"}));
  REQUIRE(node.Deliver(kReady));
  if (has_drained)
    REQUIRE(node.Deliver(kDraining));
  REQUIRE(node.Deliver(kLeft));
  if (restarts)
    node.Restart();

  SECTION("a late announcement of the earlier start is not believed") {
    REQUIRE(node.Deliver(kEarlier));
    CHECK_FALSE(node.Uses("i-1"));
  }
  SECTION("a later start is used") {
    REQUIRE(node.Deliver(kLaterStart));
    CHECK(node.Uses("i-1"));
  }
}

TEST_CASE("a server leaves while its earlier start is taken for it") {
  RestartedNode node;
  REQUIRE(node.Deliver(kEarlier));
  REQUIRE(node.Deliver(kLeft));
  CHECK_FALSE(node.Uses("i-1"));
}

TEST_CASE("a server drains and its node doubts it") {
  RestartedNode node;
  REQUIRE(node.Deliver(kReady));
  REQUIRE(node.Deliver(kDraining));
  if (GENERATE(false, true))
    node.Restart();
  node.Doubt();
  SECTION("a late announcement of an earlier start does not end the drain") {
    REQUIRE(node.Deliver(kEarlier));
    CHECK_FALSE(node.Uses("i-1"));
  }
  SECTION("a late announcement of its own does not end the drain") {
    REQUIRE(node.Deliver(kOlderReady));
    CHECK_FALSE(node.Uses("i-1"));
  }
}

TEST_CASE("a server drains and is silent until it is withdrawn") {
  RestartedNode node;
  REQUIRE(node.Deliver(kReady));
  REQUIRE(node.Deliver(kDraining));
  node.WaitForWithdrawal();
  REQUIRE(node.Deliver(kOlderReady));
  CHECK_FALSE(node.Uses("i-1"));
}

// The servers that run one after the other beside a node.
class Servers {
 public:
  // The one that runs crashes or is gone; the next one starts.
  void Start(const std::string& instance) {
    ++started_at_;
    instance_ = instance;
    sequence_ = 0;
    state_ = "ready";
    is_leave_acknowledged_ = false;
  }
  Message NextAnnouncement() {
    sent_.push_back({instance_, started_at_, ++sequence_, state_});
    return sent_.back();
  }
  Message Deregister() {
    state_.clear();
    sent_.push_back({instance_, started_at_, 0, ""});
    return sent_.back();
  }
  void Drain() { state_ = "draining"; }
  void OnAcknowledged(const Message& message) {
    is_leave_acknowledged_ |= message.started_at == started_at_ &&
                              message.instance == instance_ &&
                              message.state != "ready";
  }

  bool HasLeft() const { return state_.empty(); }
  bool IsReady() const { return state_ == "ready"; }
  bool is_leave_acknowledged() const { return is_leave_acknowledged_; }
  const std::string& instance() const { return instance_; }
  const std::vector<Message>& sent() const { return sent_; }

 private:
  int64_t started_at_ = 1000;
  std::string instance_ = "i-1";
  int sequence_ = 0;
  std::string state_ = "ready";
  bool is_leave_acknowledged_ = false;
  std::vector<Message> sent_;
};

void Announce(Servers& servers, RestartedNode& node) {
  const Message message = servers.NextAnnouncement();
  if (node.Deliver(message))
    servers.OnAcknowledged(message);
}

void Step(int kind, Servers& servers, RestartedNode& node) {
  const bool may_announce = !servers.HasLeft();
  if (kind == 0 && may_announce) {
    servers.Drain();
    Announce(servers, node);
  } else if (kind == 1 && may_announce) {
    const Message message = servers.Deregister();
    if (node.Deliver(message))
      servers.OnAcknowledged(message);
  } else if (kind == 2) {
    servers.Start(*rc::gen::elementOf(std::vector<std::string>{"i-1", "i-2"}));
    Announce(servers, node);
  } else if (kind == 3) {
    node.Restart();
  } else if (kind == 4) {
    node.Doubt();
  } else if (kind == 5 && may_announce) {
    Announce(servers, node);
  } else if (kind == 6 && may_announce) {
    servers.NextAnnouncement();  // It is delayed.
  } else if (!servers.sent().empty()) {
    const auto& sent = servers.sent();
    node.Deliver(sent[*rc::gen::inRange<size_t>(0, sent.size())]);
  }
}

TEST_CASE("no order of messages and restarts undoes an acknowledged leave") {
  constexpr int kSteps = 25;
  constexpr int kKinds = 12;  // The last five deliver an earlier message.
  rc::prop("for any order", [] {
    RestartedNode node;
    Servers servers;
    Announce(servers, node);
    for (int i = 0; i < kSteps; ++i) {
      Step(*rc::gen::inRange(0, kKinds), servers, node);
      const bool is_undone =
          servers.is_leave_acknowledged() && node.Uses(servers.instance());
      if (is_undone)
        RC_FAIL(node.history());
    }
    // Whatever arrived before, a server that goes on announcing itself is used.
    if (!servers.IsReady())
      servers.Start("i-3");
    Announce(servers, node);
    node.Doubt();
    Announce(servers, node);
    if (!node.Uses(servers.instance()))
      RC_FAIL("not used:\n" + node.history());
  });
}

}  // namespace
}  // namespace chestnutport::server
