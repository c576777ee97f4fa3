// Tests the ingress of a node against scripted peers.
#include "ingress/ingress.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "ingress/native_caller_protocol.h"
#include "net/error_answer.h"
#include "rpc/dispatcher.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"

namespace chestnutport::ingress {
namespace {

using net::FindHeader;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kQuarantinePeriod(300);
constexpr milliseconds kStartWait(250);
constexpr size_t kMemoryLimit = 160 * 1024 * 1024;

enum class Behaviour {
  kAnswers,
  kNeverAnswers,
  kRefuses,
  kFails,
  kLosesServer,
  kStops
};

// A peer that receives attempts, status requests and capacity inquiries.
class Peer {
 public:
  Peer(net::EventLoop& loop, uint64_t id, Behaviour behaviour)
      : id_{id}, behaviour_(behaviour) {
    dispatcher_.Add("attempt.settle", [this](const std::string& params) {
      status_requests.push_back(nlohmann::json::parse(params)["cancel"]);
      return nlohmann::json{{"state", state}}.dump();
    });
    auto opened = net::HttpServer::Open(
        loop, base::SocketAddress::Parse("127.0.0.1:0").value(),
        // The peer keeps the attempts.
        client_limits::ListenerLimits{.small_bodies = 16 * 1024 * 1024},
        [this](net::HttpRequest request, net::Reply reply) {
          OnRequest(std::move(request), std::move(reply));
        });
    listener_ = std::move(opened).value();
  }

  routing::ServerCandidate Candidate() const {
    routing::ServerCandidate candidate;
    candidate.node = id_;
    candidate.peer_address = listener_->address();
    return candidate;
  }

  std::string state = "running";      // Reply to status requests.
  std::vector<bool> status_requests;  // Whether each was a cancellation.
  int inquiries = 0;                  // Capacity inquiries.
  bool answers_status_requests = true;
  int closed_attempts = 0;  // Attempts whose connection the ingress closed.
  std::vector<net::HttpRequest> attempts;
  std::function<void()> on_attempt = [] {};  // Before it is answered.

 private:
  void OnRequest(net::HttpRequest request, net::Reply reply) {
    if (request.target == traffic::kSettlePath) {
      const std::string answer = dispatcher_.Handle(request.body.ToString());
      if (answers_status_requests)
        reply.Send({.body = answer});
      else
        pending_replies_.push_back(std::move(reply));
      return;
    }
    if (request.target == traffic::kCapacityInquiryPath) {
      ++inquiries;
      if (behaviour_ == Behaviour::kRefuses)
        reply.Send(net::MakeErrorAnswer(base::ErrorKind::kOverloaded));
      else
        reply.Send({.status = traffic::kCapacityAvailable});
      return;
    }
    attempts.push_back(std::move(request));
    on_attempt();
    switch (behaviour_) {
      case Behaviour::kAnswers:
        reply.Send({.headers = {{wire::kOutcomeHeader, "answered"}},
                    .body = "from " + id_.ToString()});
        return;
      case Behaviour::kFails:
        reply.Send(
            {.status = 500, .headers = {{wire::kOutcomeHeader, "answered"}}});
        return;
      case Behaviour::kRefuses:
        reply.Send(net::MakeErrorAnswer(base::ErrorKind::kDraining));
        return;
      case Behaviour::kLosesServer:
        reply.Send(net::MakeErrorAnswer(base::ErrorKind::kServerLost));
        return;
      case Behaviour::kStops:
        reply.Send(net::MakeErrorAnswer(base::ErrorKind::kRequestStopped));
        return;
      case Behaviour::kNeverAnswers:
        reply.OnGone([this] { ++closed_attempts; });
        pending_replies_.push_back(std::move(reply));
        return;
    }
  }

  base::NodeId id_;
  Behaviour behaviour_;
  rpc::Dispatcher dispatcher_;
  std::unique_ptr<net::HttpServer> listener_;
  std::vector<net::Reply> pending_replies_;  // Ends before the listener does.
};

// An ingress with peers and a caller on one event loop.
class IngressFixture {
 public:
  IngressFixture()
      : caller_(loop_, http_client::HttpClientOptions{}),
        ingress_(loop_,
                 {},
                 {"key", ""},
                 AnyCallerProtocol::Of(NativeCallerProtocol()),
                 running,
                 base::Random(1)) {
    address_ = ingress_
                   .Listen(base::SocketAddress::Parse("127.0.0.1:0").value(),
                           kStartWait, kMemoryLimit)
                   .value();
  }

  Peer& Add(Behaviour behaviour) {
    peers_.push_back(
        std::make_unique<Peer>(loop_, peers_.size() + 1, behaviour));
    TrafficSnapshot snapshot;
    declarations::ServiceDeclaration service;
    service.name = "dossie";
    service.path_prefix = "/";
    service.repeatable = {{"GET", "/"}};
    declarations::Configuration configuration;
    configuration.revision = 1;
    configuration.services = {service};
    snapshot.configuration =
        std::make_shared<const declarations::Configuration>(configuration);
    for (const auto& peer : peers_)
      snapshot.servers["dossie"].push_back(peer->Candidate());
    ingress_.SetSnapshot(snapshot);
    return *peers_.back();
  }

  net::HttpAnswer SendRequest(const std::string& method,
                              net::HttpHeaders headers,
                              const std::string& body = "") {
    net::HttpAnswer answer;
    caller_.Send(
        address_,
        {.method = method, .target = "/1", .headers = headers, .body = body},
        std::chrono::seconds(10), [&](http_client::TransferResult result) {
          answer = std::move(result.answer);
          loop_.Stop();
        });
    loop_.Run();
    return answer;
  }

  // Runs the loop until `holds`, for at most ten seconds.
  template <typename Condition>
  bool RunUntil(Condition holds) {
    for (int i = 0; i < 1000 && !holds(); ++i) {
      loop_.CallAfter(milliseconds(10), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return holds();
  }

  std::string host() const { return address_.ToString(); }

  // Calls `what` after `wait` while the loop runs.
  void RunAfter(base::Duration wait, std::function<void()> what) {
    loop_.CallAfter(wait, std::move(what));
  }

  void SetVerdict(base::RequestFingerprint fingerprint,
                  quarantine::Verdict verdict) {
    quarantine::Verdicts verdicts;
    verdicts.Set(fingerprint,
                 {verdict, base::Clock::now() + kQuarantinePeriod});
    ingress_.SetVerdicts(
        std::make_shared<const quarantine::Verdicts>(verdicts));
  }

  // Sends a request, and disconnects once `holds`.
  template <typename Condition>
  void SendAndDisconnect(Condition holds) {
    const auto transfer = caller_.Send(
        address_, {.method = "POST", .target = "/1"}, std::chrono::seconds(10),
        [](http_client::TransferResult) {});
    REQUIRE(RunUntil(holds));
    caller_.Cancel(transfer);
  }

 private:
  net::EventLoop loop_;

 public:
  traffic::RunningRequests running;

 private:
  http_client::HttpClient caller_;
  std::vector<std::unique_ptr<Peer>> peers_;
  Ingress ingress_;
  base::SocketAddress address_;
};

std::string Outcome(const net::HttpAnswer& answer) {
  return std::string(FindHeader(answer.headers, wire::kOutcomeHeader));
}

// Returns the fingerprint of a request sent by IngressFixture::SendRequest().
base::RequestFingerprint FingerprintOfRequest(const std::string& host,
                                              std::string_view method = "GET") {
  return base::RequestFingerprint::Of({.tenant = "",
                                       .method = method,
                                       .host = host,
                                       .target = "/1",
                                       .body_hash = 0});
}

TEST_CASE("an ingress node") {
  IngressFixture fixture;

  SECTION("whose peer accepts a request but does not answer") {
    Peer& unresponsive = fixture.Add(Behaviour::kNeverAnswers);

    SECTION("reports an unknown outcome to the caller at the deadline") {
      const auto answer =
          fixture.SendRequest("POST", {{wire::kDeadlineHeader, "80ms"}});
      CHECK(Outcome(answer) == "unknown");
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
            "deadline-passed");
      CHECK(unresponsive.status_requests == std::vector<bool>{true});
    }
    SECTION("reports that it did not run if the peer confirms this") {
      unresponsive.state = "never-runs";
      const auto answer =
          fixture.SendRequest("POST", {{wire::kDeadlineHeader, "80ms"}});
      CHECK(Outcome(answer) == "not-run");
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) == "cancelled");
    }
    SECTION("queries its status, and resends it if it never arrived") {
      unresponsive.state = "never-runs";
      // The first has no other server; the second peer comes while it waits.
      std::string answered;
      fixture.Add(Behaviour::kAnswers);
      for (int i = 0; i < 20 && unresponsive.status_requests.empty(); ++i) {
        const auto answer =
            fixture.SendRequest("POST", {{wire::kDeadlineHeader, "8s"}});
        CHECK(answer.status == 200);
      }
      CHECK(unresponsive.status_requests == std::vector<bool>{false});
    }
    SECTION("cancels the attempt when the caller disconnects") {
      fixture.SendAndDisconnect([&] { return !unresponsive.attempts.empty(); });
      CHECK(fixture.RunUntil(
          [&] { return !unresponsive.status_requests.empty(); }));
      CHECK(unresponsive.status_requests == std::vector<bool>{true});
      CHECK(unresponsive.closed_attempts == 0);
    }
    SECTION("repeats a cancellation without reply, and closes the connection") {
      unresponsive.answers_status_requests = false;
      fixture.SendAndDisconnect([&] { return !unresponsive.attempts.empty(); });
      CHECK(fixture.RunUntil(
          [&] { return unresponsive.status_requests.size() > 1; }));
      CHECK(
          fixture.RunUntil([&] { return unresponsive.closed_attempts == 1; }));
    }
  }

  SECTION("resends a refused request even if it is not repeatable") {
    Peer& leaving = fixture.Add(Behaviour::kRefuses);
    fixture.Add(Behaviour::kAnswers);
    for (int i = 0; i < 20; ++i)
      CHECK(fixture.SendRequest("POST", {}).status == 200);
    CHECK_FALSE(leaving.attempts.empty());
  }

  SECTION("sends a large body only to a peer that has capacity") {
    Peer& full = fixture.Add(Behaviour::kRefuses);
    Peer& free = fixture.Add(Behaviour::kAnswers);
    const std::string body(60000, 'x');
    for (int i = 0; i < 20; ++i)
      CHECK(fixture.SendRequest("POST", {}, body).status == 200);
    CHECK(full.inquiries > 0);
    CHECK(full.attempts.empty());
    REQUIRE(free.attempts.size() == 20);
    CHECK(free.attempts.front().body == body);

    SECTION("and a small one without a capacity inquiry") {
      const int inquiries = free.inquiries;
      CHECK(fixture.SendRequest("POST", {}, "x").status == 200);
      CHECK(free.inquiries == inquiries);
    }
  }

  SECTION("sends each use of an idempotency key to one owner") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&fixture.Add(Behaviour::kAnswers));
    for (int i = 0; i < 20; ++i)
      fixture.SendRequest("POST", {{wire::kIdempotencyKeyHeader, "k"}});
    const auto asked = std::ranges::count_if(
        peers, [](const Peer* peer) { return !peer->attempts.empty(); });
    CHECK(asked == 1);
    SECTION("even if the request is suspected or quarantined") {
      for (const auto verdict : {quarantine::Verdict::kSuspected,
                                 quarantine::Verdict::kQuarantined}) {
        fixture.SetVerdict(FingerprintOfRequest(fixture.host(), "POST"),
                           verdict);
        CHECK(fixture.SendRequest("POST", {{wire::kIdempotencyKeyHeader, "k"}})
                  .status == 200);
      }
      const auto still_asked = std::ranges::count_if(
          peers, [](const Peer* peer) { return !peer->attempts.empty(); });
      CHECK(still_asked == 1);
    }
  }

  SECTION("sends a quarantined request to no peer") {
    Peer& peer = fixture.Add(Behaviour::kAnswers);
    fixture.SetVerdict(FingerprintOfRequest(fixture.host()),
                       quarantine::Verdict::kQuarantined);
    const auto answer = fixture.SendRequest("GET", {});
    CHECK(answer.status == 503);
    CHECK(Outcome(answer) == "not-run");
    CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
          "request-quarantined");
    CHECK(FindHeader(answer.headers, "Retry-After") == "300");
    CHECK(peer.attempts.empty());
    SECTION("but still sends other requests") {
      CHECK(fixture.SendRequest("GET", {}, "another body").status == 200);
    }
  }

  SECTION(
      "sends a suspect request always to the same peer, marked as suspect") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&fixture.Add(Behaviour::kAnswers));
    fixture.SetVerdict(FingerprintOfRequest(fixture.host()),
                       quarantine::Verdict::kSuspected);
    for (int i = 0; i < 20; ++i)
      CHECK(fixture.SendRequest("GET", {}).status == 200);
    const auto asked = std::ranges::find_if(
        peers, [](const Peer* peer) { return !peer->attempts.empty(); });
    REQUIRE(asked != peers.end());
    CHECK((*asked)->attempts.size() == 20);
    CHECK(FindHeader((*asked)->attempts[0].headers, wire::kSuspectHeader) ==
          "1");
  }

  SECTION("does not resend a suspect request that crashed a server") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&fixture.Add(Behaviour::kLosesServer));
    fixture.SetVerdict(FingerprintOfRequest(fixture.host()),
                       quarantine::Verdict::kSuspected);
    const auto answer = fixture.SendRequest("GET", {});
    CHECK(answer.status == 502);
    CHECK(Outcome(answer) == "unknown");
    size_t asked = 0;
    for (const Peer* peer : peers)
      asked += peer->attempts.size();
    CHECK(asked == 1);
  }

  SECTION("treats a request that crashed two servers as suspect at once") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&fixture.Add(Behaviour::kLosesServer));
    const auto answer = fixture.SendRequest("GET", {});
    CHECK(Outcome(answer) == "unknown");
    int suspected = 0;
    for (const Peer* peer : peers) {
      REQUIRE(peer->attempts.size() == 1);
      const auto& headers = peer->attempts[0].headers;
      suspected += FindHeader(headers, wire::kSuspectHeader) == "1" ? 1 : 0;
    }
    CHECK(suspected == 1);
  }

  SECTION("does not resend a request that is quarantined meanwhile") {
    const auto asked = [](const std::vector<Peer*>& peers) {
      size_t attempts = 0;
      for (const Peer* peer : peers)
        attempts += peer->attempts.size();
      return attempts;
    };
    std::vector<Peer*> peers;

    SECTION("according to the verdicts of this node") {
      for (int i = 0; i < 3; ++i) {
        peers.push_back(&fixture.Add(Behaviour::kLosesServer));
        peers.back()->on_attempt = [&fixture] {
          fixture.SetVerdict(FingerprintOfRequest(fixture.host()),
                             quarantine::Verdict::kQuarantined);
        };
      }
      CHECK(Outcome(fixture.SendRequest("GET", {})) == "unknown");
      CHECK(asked(peers) == 1);
    }
    SECTION("and reports that it did not run, if so") {
      for (int i = 0; i < 3; ++i) {
        peers.push_back(&fixture.Add(Behaviour::kRefuses));
        peers.back()->on_attempt = [&fixture] {
          fixture.SetVerdict(FingerprintOfRequest(fixture.host()),
                             quarantine::Verdict::kQuarantined);
        };
      }
      const auto answer = fixture.SendRequest("GET", {});
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
            "request-quarantined");
      CHECK(FindHeader(answer.headers, "Retry-After") == "300");
      CHECK(asked(peers) == 1);
    }
    SECTION("according to the node that stopped it") {
      for (int i = 0; i < 3; ++i)
        peers.push_back(&fixture.Add(Behaviour::kStops));
      const auto answer = fixture.SendRequest("GET", {});
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
            "request-stopped");
      CHECK(Outcome(answer) == "unknown");
      CHECK(asked(peers) == 1);
    }
  }

  SECTION("retries a failed request only if it is repeatable") {
    Peer& failing = fixture.Add(Behaviour::kFails);
    fixture.Add(Behaviour::kAnswers);
    for (int i = 0; i < 10; ++i)
      CHECK(fixture.SendRequest("GET", {}).status == 200);
    REQUIRE_FALSE(failing.attempts.empty());
    const auto& headers = failing.attempts.front().headers;
    CHECK(FindHeader(headers, wire::kRetryLevelHeader) == "0");

    SECTION("and not below a level that retries") {
      int failures = 0;
      for (int i = 0; i < 20; ++i) {
        const auto answer = fixture.SendRequest(
            "GET", {{wire::kDepthHeader, "2"}, {wire::kRetryLevelHeader, "1"}});
        failures += answer.status == 500 ? 1 : 0;
      }
      CHECK(failures > 0);
    }
  }
}

TEST_CASE("an ingress node that has just been started") {
  IngressFixture fixture;

  SECTION("keeps callers waiting until it has a configuration and servers") {
    fixture.RunAfter(kStartWait / 4,
                     [&fixture] { fixture.Add(Behaviour::kAnswers); });
    CHECK(fixture.SendRequest("GET", {}).status == 200);
  }
  SECTION("refuses them after the start wait without a configuration") {
    bool is_late = false;
    fixture.RunAfter(kStartWait * 4, [&is_late] { is_late = true; });
    const auto answer = fixture.SendRequest("GET", {});
    CHECK_FALSE(is_late);
    CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
          "configuration-missing");
    CHECK(Outcome(answer) == "not-run");
  }
}

}  // namespace
}  // namespace chestnutport::ingress
