// How a node gets a configuration from others, some of which never answer.
#include "fleet_configuration/configuration_fetcher.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "configuration/packed_document_cache.h"
#include "control_calls/control_listener.h"
#include "net/listening_socket.h"
#include "support/relay.h"

namespace chestnutport::fleet_configuration {
namespace {

using configuration::Documents;
using configuration::Head;
using configuration::LocalConfiguration;
using membership::Member;

constexpr uint64_t kOld = 1;
constexpr uint64_t kNew = 2;
constexpr uint64_t kNewer = 3;
// As long as the fetcher waits for an answer.
constexpr base::Duration kGivenUp = std::chrono::seconds(2);
const control_calls::PeerKeys kKeys{.current = "key", .previous = ""};
const base::SocketAddress kAnyPort = *base::SocketAddress::Parse("127.0.0.1:0");

Documents DocumentsOf(uint64_t revision) {
  return configuration::MakeDocuments({{"a", std::to_string(revision)}});
}

Head HeadOf(uint64_t revision) {
  Head head;
  for (uint64_t i = 1; i <= revision; ++i) {
    const auto documents = DocumentsOf(i);
    head = configuration::NextHead(head, {{"a", documents.begin()->first}},
                                   {.plan_id = std::to_string(i)});
  }
  return head;
}

// Hands out what it holds.
class Neighbour {
 public:
  Neighbour(net::EventLoop& loop, uint64_t revision) : listener_(loop, kKeys) {
    Take(revision);
    listener_.Add(configuration::kFetchMethod, [this](const auto& params) {
      const auto request = configuration::FetchRequest::FromJson(params);
      return configuration::MakeFetchResponse(*request, local_, packed_)
          .ToJson();
    });
    REQUIRE(listener_.Listen(kAnyPort));
  }

  const base::SocketAddress& address() const { return listener_.address(); }
  void Take(uint64_t revision) {
    local_.Apply(HeadOf(revision), DocumentsOf(revision));
  }

 private:
  control_calls::ControlListener listener_;
  LocalConfiguration local_;
  configuration::PackedDocumentCache packed_;
};

// One node that asks, beside neighbours that answer and some that accept
// connections and say nothing.
class Scene {
 public:
  Scene() : caller_(loop_, kKeys) {
    local_.Apply(HeadOf(kOld), DocumentsOf(kOld));
    self_.id = base::NodeId::Draw(random_);
    fetcher_ = std::make_unique<ConfigurationFetcher>(
        loop_, caller_, local_, random_,
        [this](base::NodeId, const Head& head, const Documents& documents) {
          return OnOffer(head, documents);
        });
  }

  Member AddSilent() {
    auto socket = net::ListeningSocket::Open(kAnyPort);
    REQUIRE(socket);
    silent_.push_back(std::move(socket).value());
    return AddMember(silent_.back().address());
  }
  // Behind a relay that is silenced before the next revision.
  Member AddRelayedNeighbour(uint64_t revision) {
    neighbours_.push_back(std::make_unique<Neighbour>(loop_, revision));
    relay_ = std::make_unique<test::Relay>(neighbours_.back()->address());
    return AddMember(relay_->address());
  }
  void SilenceOpenConnections() { relay_->SilenceOpenConnections(); }
  void TakeAtNeighbour(uint64_t revision) {
    neighbours_.back()->Take(revision);
  }
  // Ends the run when a question to a silent node, asked now, is given up.
  void RunUntilGivenUp() {
    const Member silent = AddSilent();
    caller_.Call(silent.control_address, configuration::kFetchMethod, "{}",
                 kGivenUp, [this](const auto&) { loop_.Stop(); });
    Run();
  }
  Member AddNeighbour(uint64_t revision) {
    neighbours_.push_back(std::make_unique<Neighbour>(loop_, revision));
    return AddMember(neighbours_.back()->address());
  }
  void Start() {
    fetcher_->SetMembers(self_, members_);
    fetcher_->Start();
  }
  void Hear(uint64_t revision, const Member& from) {
    fetcher_->OnRevisionReported(revision, from);
  }
  // Until the new revision is in force.
  void Run() { loop_.Run(); }

  uint64_t local() const { return local_.head().revision; }
  // Questions that were open when the new revision came.
  std::optional<size_t> open_questions() const { return open_questions_; }

 private:
  Member AddMember(const base::SocketAddress& address) {
    Member member;
    member.id = base::NodeId::Draw(random_);
    member.control_address = address;
    members_.push_back(member);
    return member;
  }
  configuration::ApplyResult OnOffer(const Head& head,
                                     const Documents& documents) {
    const auto adoption = local_.Apply(head, documents);
    if (adoption == configuration::ApplyResult::kApplied) {
      // The one that brought it is done.
      open_questions_ = caller_.open_calls();
      loop_.Stop();
    }
    return adoption;
  }
  net::EventLoop loop_;
  control_calls::ControlCaller caller_;
  base::Random random_{1};
  LocalConfiguration local_;
  Member self_;
  std::vector<Member> members_;
  std::vector<net::ListeningSocket> silent_;
  std::vector<std::unique_ptr<Neighbour>> neighbours_;
  std::unique_ptr<test::Relay> relay_;
  std::unique_ptr<ConfigurationFetcher> fetcher_;
  std::optional<size_t> open_questions_;
};

TEST_CASE("a node that does not answer keeps no configuration from another") {
  Scene scene;

  SECTION("when it told of the revision, and went silent") {
    const Member silent = scene.AddSilent();
    const Member neighbour = scene.AddNeighbour(kNew);
    scene.Hear(kNew, silent);
    scene.Hear(kNew, neighbour);
    scene.Run();
    CHECK(scene.local() == kNew);
    CHECK(scene.open_questions().value_or(0) == 1);
  }
  SECTION("when it was asked before there was a new revision") {
    scene.AddSilent();
    scene.Start();
    scene.Hear(kNew, scene.AddNeighbour(kNew));
    scene.Run();
    CHECK(scene.local() == kNew);
    CHECK(scene.open_questions().value_or(0) == 1);
  }
  SECTION("when several are silent, and only one of those that told is left") {
    const std::vector<Member> silent = {scene.AddSilent(), scene.AddSilent()};
    const Member neighbour = scene.AddNeighbour(kNew);
    for (const Member& member : silent)
      scene.Hear(kNew, member);
    scene.Hear(kNew, neighbour);
    scene.Run();
    CHECK(scene.local() == kNew);
    CHECK(scene.open_questions().value_or(0) >= 1);
  }
}

TEST_CASE("a kept connection that went silent delays no configuration") {
  Scene scene;
  const Member neighbour = scene.AddRelayedNeighbour(kNew);
  scene.Hear(kNew, neighbour);
  scene.Run();
  REQUIRE(scene.local() == kNew);

  scene.SilenceOpenConnections();
  scene.TakeAtNeighbour(kNewer);
  scene.Hear(kNewer, neighbour);
  scene.RunUntilGivenUp();
  CHECK(scene.local() == kNewer);
}

}  // namespace
}  // namespace chestnutport::fleet_configuration
