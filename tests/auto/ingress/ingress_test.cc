// The ingress of a node against peers that answer as the test wants.
#include "ingress/ingress.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "ingress/own_caller_protocol.h"
#include "net/error_answer.h"
#include "rpc/dispatcher.h"
#include "traffic/peer_paths.h"
#include "wire/header_names.h"

namespace chestnutport::ingress {
namespace {

using net::FindHeader;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kHold(300);
constexpr milliseconds kStartWait(250);

enum class Behaviour { kAnswers, kSilent, kRefuses, kFails, kLoses, kStops };

// A peer listener that takes attempts and questions.
class Peer {
 public:
  Peer(net::EventLoop& loop, uint64_t id, Behaviour behaviour)
      : id_{id}, behaviour_(behaviour) {
    dispatcher_.Add("attempt.settle", [this](const std::string& params) {
      questions.push_back(nlohmann::json::parse(params)["cancel"]);
      return nlohmann::json{{"state", state}}.dump();
    });
    auto opened = net::HttpServer::Open(
        loop, base::SocketAddress::Parse("127.0.0.1:0").value(),
        net::HttpServerLimits{},
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

  std::string state = "running";  // What questions are answered with.
  std::vector<bool> questions;    // Whether each was to cancel.
  int inquiries = 0;              // Questions for a place.
  bool answers_questions = true;
  int gone = 0;  // Attempts whose connection the ingress closed.
  std::vector<net::HttpRequest> attempts;
  std::function<void()> on_attempt = [] {};  // Before it is answered.

 private:
  void OnRequest(net::HttpRequest request, net::Reply reply) {
    if (request.target == traffic::kSettlePath) {
      const std::string answer = dispatcher_.Handle(request.body);
      if (answers_questions)
        reply.Send({.body = answer});
      else
        held_.push_back(std::move(reply));
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
      case Behaviour::kLoses:
        reply.Send(net::MakeErrorAnswer(base::ErrorKind::kServerLost));
        return;
      case Behaviour::kStops:
        reply.Send(net::MakeErrorAnswer(base::ErrorKind::kRequestStopped));
        return;
      case Behaviour::kSilent:
        reply.OnGone([this] { ++gone; });
        held_.push_back(std::move(reply));
        return;
    }
  }

  base::NodeId id_;
  Behaviour behaviour_;
  rpc::Dispatcher dispatcher_;
  std::unique_ptr<net::HttpServer> listener_;
  std::vector<net::Reply> held_;  // Ends before the listener does.
};

// One ingress with peers and a caller, all on one loop.
class Scene {
 public:
  Scene()
      : caller_(loop_, net::HttpClientOptions{}),
        ingress_(loop_,
                 {},
                 {"key", ""},
                 AnyCallerProtocol::Of(OwnCallerProtocol()),
                 running,
                 base::Random(1)) {
    address_ = ingress_
                   .Listen(base::SocketAddress::Parse("127.0.0.1:0").value(),
                           kStartWait)
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

  net::HttpAnswer Ask(const std::string& method,
                      net::HttpHeaders headers,
                      const std::string& body = "") {
    net::HttpAnswer answer;
    caller_.Send(
        address_,
        {.method = method, .target = "/1", .headers = headers, .body = body},
        std::chrono::seconds(10), [&](net::TransferResult result) {
          answer = std::move(result.answer);
          loop_.Stop();
        });
    loop_.Run();
    return answer;
  }

  // Runs until `holds`, for ten seconds at most.
  template <typename Condition>
  bool Until(Condition holds) {
    for (int i = 0; i < 1000 && !holds(); ++i) {
      loop_.CallAfter(milliseconds(10), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return holds();
  }

  std::string host() const { return address_.ToString(); }

  // Does `what` while the scene runs.
  void After(base::Duration wait, std::function<void()> what) {
    loop_.CallAfter(wait, std::move(what));
  }

  void SetVerdict(base::RequestFingerprint fingerprint,
                  quarantine::Verdict verdict) {
    quarantine::Verdicts verdicts;
    verdicts.Set(fingerprint, {verdict, base::Clock::now() + kHold});
    ingress_.SetVerdicts(
        std::make_shared<const quarantine::Verdicts>(verdicts));
  }

  // Sends a request whose caller leaves once `holds`.
  template <typename Condition>
  void AskAndLeave(Condition holds) {
    const auto transfer =
        caller_.Send(address_, {.method = "POST", .target = "/1"},
                     std::chrono::seconds(10), [](net::TransferResult) {});
    REQUIRE(Until(holds));
    caller_.Cancel(transfer);
  }

 private:
  net::EventLoop loop_;

 public:
  traffic::RunningRequests running;

 private:
  net::HttpClient caller_;
  std::vector<std::unique_ptr<Peer>> peers_;
  Ingress ingress_;
  base::SocketAddress address_;
};

std::string Outcome(const net::HttpAnswer& answer) {
  return std::string(FindHeader(answer.headers, wire::kOutcomeHeader));
}

// Of a GET that the scene's caller sends.
base::RequestFingerprint FingerprintOfAsk(const std::string& host,
                                          std::string_view method = "GET") {
  return base::RequestFingerprint::Of({.tenant = "",
                                       .method = method,
                                       .host = host,
                                       .target = "/1",
                                       .body = ""});
}

TEST_CASE("an ingress node") {
  Scene scene;

  SECTION("whose peer takes a request and falls silent") {
    Peer& silent = scene.Add(Behaviour::kSilent);

    SECTION("tells the caller at the deadline that it may have run") {
      const auto answer = scene.Ask("POST", {{wire::kDeadlineHeader, "80ms"}});
      CHECK(Outcome(answer) == "unknown");
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
            "deadline-passed");
      CHECK(silent.questions == std::vector<bool>{true});
    }
    SECTION("tells the caller that it did not run if the peer confirms it") {
      silent.state = "never-runs";
      const auto answer = scene.Ask("POST", {{wire::kDeadlineHeader, "80ms"}});
      CHECK(Outcome(answer) == "not-run");
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) == "cancelled");
    }
    SECTION("asks for its state, and sends elsewhere what never arrived") {
      silent.state = "never-runs";
      // The first has no other server; the second peer comes while it waits.
      std::string answered;
      scene.Add(Behaviour::kAnswers);
      for (int i = 0; i < 20 && silent.questions.empty(); ++i) {
        const auto answer = scene.Ask("POST", {{wire::kDeadlineHeader, "8s"}});
        CHECK(answer.status == 200);
      }
      CHECK(silent.questions == std::vector<bool>{false});
    }
    SECTION("cancels the attempt when the caller goes away") {
      scene.AskAndLeave([&] { return !silent.attempts.empty(); });
      CHECK(scene.Until([&] { return !silent.questions.empty(); }));
      CHECK(silent.questions == std::vector<bool>{true});
      CHECK(silent.gone == 0);
    }
    SECTION("cancels again, and closes the connection, if it is not told") {
      silent.answers_questions = false;
      scene.AskAndLeave([&] { return !silent.attempts.empty(); });
      CHECK(scene.Until([&] { return silent.questions.size() > 1; }));
      CHECK(scene.Until([&] { return silent.gone == 1; }));
    }
  }

  SECTION("sends elsewhere what is refused, also if it may not be repeated") {
    Peer& leaving = scene.Add(Behaviour::kRefuses);
    scene.Add(Behaviour::kAnswers);
    for (int i = 0; i < 20; ++i)
      CHECK(scene.Ask("POST", {}).status == 200);
    CHECK_FALSE(leaving.attempts.empty());
  }

  SECTION("sends a large body only to a peer that has a place for it") {
    Peer& full = scene.Add(Behaviour::kRefuses);
    Peer& free = scene.Add(Behaviour::kAnswers);
    const std::string body(60000, 'x');
    for (int i = 0; i < 20; ++i)
      CHECK(scene.Ask("POST", {}, body).status == 200);
    CHECK(full.inquiries > 0);
    CHECK(full.attempts.empty());
    REQUIRE(free.attempts.size() == 20);
    CHECK(free.attempts.front().body == body);

    SECTION("while a small one is sent at once") {
      const int inquiries = free.inquiries;
      CHECK(scene.Ask("POST", {}, "x").status == 200);
      CHECK(free.inquiries == inquiries);
    }
  }

  SECTION("sends each use of an idempotency key to one owner") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&scene.Add(Behaviour::kAnswers));
    for (int i = 0; i < 20; ++i)
      scene.Ask("POST", {{wire::kIdempotencyKeyHeader, "k"}});
    const auto asked = std::ranges::count_if(
        peers, [](const Peer* peer) { return !peer->attempts.empty(); });
    CHECK(asked == 1);
    SECTION("also of a suspect, and leaves it to the owner what is held") {
      for (const auto verdict : {quarantine::Verdict::kSuspected,
                                 quarantine::Verdict::kQuarantined}) {
        scene.SetVerdict(FingerprintOfAsk(scene.host(), "POST"), verdict);
        CHECK(scene.Ask("POST", {{wire::kIdempotencyKeyHeader, "k"}}).status ==
              200);
      }
      const auto still_asked = std::ranges::count_if(
          peers, [](const Peer* peer) { return !peer->attempts.empty(); });
      CHECK(still_asked == 1);
    }
  }

  SECTION("asks no peer for a request that is in quarantine") {
    Peer& peer = scene.Add(Behaviour::kAnswers);
    scene.SetVerdict(FingerprintOfAsk(scene.host()),
                     quarantine::Verdict::kQuarantined);
    const auto answer = scene.Ask("GET", {});
    CHECK(answer.status == 503);
    CHECK(Outcome(answer) == "not-run");
    CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
          "request-quarantined");
    CHECK(FindHeader(answer.headers, "Retry-After") == "300");
    CHECK(peer.attempts.empty());
    SECTION("and any for another") {
      CHECK(scene.Ask("GET", {}, "another body").status == 200);
    }
  }

  SECTION("sends a suspect to one peer each time, and says what it is") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&scene.Add(Behaviour::kAnswers));
    scene.SetVerdict(FingerprintOfAsk(scene.host()),
                     quarantine::Verdict::kSuspected);
    for (int i = 0; i < 20; ++i)
      CHECK(scene.Ask("GET", {}).status == 200);
    const auto asked = std::ranges::find_if(
        peers, [](const Peer* peer) { return !peer->attempts.empty(); });
    REQUIRE(asked != peers.end());
    CHECK((*asked)->attempts.size() == 20);
    CHECK(FindHeader((*asked)->attempts[0].headers, wire::kSuspectHeader) ==
          "1");
  }

  SECTION("gives a suspect to no other when its server has ended with it") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&scene.Add(Behaviour::kLoses));
    scene.SetVerdict(FingerprintOfAsk(scene.host()),
                     quarantine::Verdict::kSuspected);
    const auto answer = scene.Ask("GET", {});
    CHECK(answer.status == 502);
    CHECK(Outcome(answer) == "unknown");
    size_t asked = 0;
    for (const Peer* peer : peers)
      asked += peer->attempts.size();
    CHECK(asked == 1);
  }

  SECTION("takes what two servers ended with for a suspect at once") {
    std::vector<Peer*> peers;
    for (int i = 0; i < 3; ++i)
      peers.push_back(&scene.Add(Behaviour::kLoses));
    const auto answer = scene.Ask("GET", {});
    CHECK(Outcome(answer) == "unknown");
    int suspected = 0;
    for (const Peer* peer : peers) {
      REQUIRE(peer->attempts.size() == 1);
      const auto& headers = peer->attempts[0].headers;
      suspected += FindHeader(headers, wire::kSuspectHeader) == "1" ? 1 : 0;
    }
    CHECK(suspected == 1);
  }

  SECTION("hands on nothing that is put in quarantine under way") {
    const auto asked = [](const std::vector<Peer*>& peers) {
      size_t attempts = 0;
      for (const Peer* peer : peers)
        attempts += peer->attempts.size();
      return attempts;
    };
    std::vector<Peer*> peers;

    SECTION("as this node knows it by then") {
      for (int i = 0; i < 3; ++i) {
        peers.push_back(&scene.Add(Behaviour::kLoses));
        peers.back()->on_attempt = [&scene] {
          scene.SetVerdict(FingerprintOfAsk(scene.host()),
                           quarantine::Verdict::kQuarantined);
        };
      }
      CHECK(Outcome(scene.Ask("GET", {})) == "unknown");
      CHECK(asked(peers) == 1);
    }
    SECTION("nor tells that it may have run, if it did not") {
      for (int i = 0; i < 3; ++i) {
        peers.push_back(&scene.Add(Behaviour::kRefuses));
        peers.back()->on_attempt = [&scene] {
          scene.SetVerdict(FingerprintOfAsk(scene.host()),
                           quarantine::Verdict::kQuarantined);
        };
      }
      const auto answer = scene.Ask("GET", {});
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
            "request-quarantined");
      CHECK(FindHeader(answer.headers, "Retry-After") == "300");
      CHECK(asked(peers) == 1);
    }
    SECTION("as the node that stopped it says") {
      for (int i = 0; i < 3; ++i)
        peers.push_back(&scene.Add(Behaviour::kStops));
      const auto answer = scene.Ask("GET", {});
      CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
            "request-stopped");
      CHECK(Outcome(answer) == "unknown");
      CHECK(asked(peers) == 1);
    }
  }

  SECTION("repeats what failed only if it may be repeated") {
    Peer& failing = scene.Add(Behaviour::kFails);
    scene.Add(Behaviour::kAnswers);
    for (int i = 0; i < 10; ++i)
      CHECK(scene.Ask("GET", {}).status == 200);
    REQUIRE_FALSE(failing.attempts.empty());
    const auto& headers = failing.attempts.front().headers;
    CHECK(FindHeader(headers, wire::kRetryLevelHeader) == "0");

    SECTION("and not below a level that repeats") {
      int failures = 0;
      for (int i = 0; i < 20; ++i) {
        const auto answer = scene.Ask(
            "GET", {{wire::kDepthHeader, "2"}, {wire::kRetryLevelHeader, "1"}});
        failures += answer.status == 500 ? 1 : 0;
      }
      CHECK(failures > 0);
    }
  }
}

TEST_CASE("an ingress node that has just started") {
  Scene scene;

  SECTION("lets callers wait until it knows where to send them") {
    scene.After(kStartWait / 4, [&scene] { scene.Add(Behaviour::kAnswers); });
    CHECK(scene.Ask("GET", {}).status == 200);
  }
  SECTION("refuses them soon if nobody tells it") {
    bool is_late = false;
    scene.After(kStartWait * 4, [&is_late] { is_late = true; });
    const auto answer = scene.Ask("GET", {});
    CHECK_FALSE(is_late);
    CHECK(FindHeader(answer.headers, wire::kErrorHeader) ==
          "configuration-missing");
    CHECK(Outcome(answer) == "not-run");
  }
}

}  // namespace
}  // namespace chestnutport::ingress
