// Fetching a configuration from peers, some of which never respond. Guards
// against an unresponsive peer or a lost connection delaying a revision until a
// time-out.
#include "fleet_configuration/configuration_fetcher.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "configuration/packed_document_cache.h"
#include "control_calls/control_listener.h"
#include "sockets/listening_socket.h"
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
// Time after which the fetcher gives up on a response.
constexpr base::Duration kTimeout = std::chrono::seconds(2);
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

// A peer that serves its configuration.
class Peer {
 public:
  Peer(net::EventLoop& loop, uint64_t revision) : listener_(loop, kKeys) {
    Apply(revision);
    listener_.Add(configuration::kFetchMethod, [this](const auto& params) {
      const auto request = configuration::FetchRequest::FromJson(params);
      return configuration::MakeFetchResponse(*request, local_, packed_)
          .ToJson();
    });
    REQUIRE(listener_.Listen(kAnyPort));
  }

  const base::SocketAddress& address() const { return listener_.address(); }
  void Apply(uint64_t revision) {
    local_.Apply(HeadOf(revision), DocumentsOf(revision));
  }

 private:
  control_calls::ControlListener listener_;
  LocalConfiguration local_;
  configuration::PackedDocumentCache packed_;
};

// A node that fetches, peers that respond, and peers that accept connections
// but never respond.
class FetcherFixture {
 public:
  FetcherFixture() : caller_(loop_, kKeys) {
    local_.Apply(HeadOf(kOld), DocumentsOf(kOld));
    self_.id = base::NodeId::Draw(random_);
    fetcher_ = std::make_unique<ConfigurationFetcher>(
        loop_, caller_, local_, random_,
        [this](base::NodeId, const Head& head, const Documents& documents) {
          return OnUpdate(head, documents);
        });
  }

  Member AddUnresponsivePeer() {
    auto socket = sockets::ListeningSocket::Open(kAnyPort);
    REQUIRE(socket);
    unresponsive_.push_back(std::move(socket).value());
    return AddMember(unresponsive_.back().address());
  }
  // Adds a peer behind a relay whose connections can be silenced.
  Member AddRelayedPeer(uint64_t revision) {
    peers_.push_back(std::make_unique<Peer>(loop_, revision));
    relay_ = std::make_unique<test::Relay>(peers_.back()->address());
    return AddMember(relay_->address());
  }
  void SilenceOpenConnections() { relay_->SilenceOpenConnections(); }
  void ApplyAtPeer(uint64_t revision) { peers_.back()->Apply(revision); }
  // Runs until a call to an unresponsive peer that starts now times out.
  void RunUntilTimeout() {
    const Member unresponsive = AddUnresponsivePeer();
    caller_.Call(unresponsive.control_address, configuration::kFetchMethod,
                 "{}", kTimeout, [this](const auto&) { loop_.Stop(); });
    Run();
  }
  Member AddPeer(uint64_t revision) {
    peers_.push_back(std::make_unique<Peer>(loop_, revision));
    return AddMember(peers_.back()->address());
  }
  void Start() {
    fetcher_->SetMembers(self_, members_);
    fetcher_->Start();
  }
  void ReportRevision(uint64_t revision, const Member& from) {
    fetcher_->OnRevisionReported(revision, from);
  }
  // Runs until a new revision is applied.
  void Run() { loop_.Run(); }

  uint64_t local() const { return local_.head().revision; }
  // Calls that were pending when the new revision was applied.
  std::optional<size_t> pending_calls() const { return pending_calls_; }

 private:
  Member AddMember(const base::SocketAddress& address) {
    Member member;
    member.id = base::NodeId::Draw(random_);
    member.control_address = address;
    members_.push_back(member);
    return member;
  }
  configuration::ApplyResult OnUpdate(const Head& head,
                                      const Documents& documents) {
    const auto result = local_.Apply(head, documents);
    if (result == configuration::ApplyResult::kApplied) {
      // The call that returned the revision has ended.
      pending_calls_ = caller_.open_calls();
      loop_.Stop();
    }
    return result;
  }
  net::EventLoop loop_;
  control_calls::ControlCaller caller_;
  base::Random random_{1};
  LocalConfiguration local_;
  Member self_;
  std::vector<Member> members_;
  std::vector<sockets::ListeningSocket> unresponsive_;
  std::vector<std::unique_ptr<Peer>> peers_;
  std::unique_ptr<test::Relay> relay_;
  std::unique_ptr<ConfigurationFetcher> fetcher_;
  std::optional<size_t> pending_calls_;
};

TEST_CASE("an unresponsive peer does not delay a configuration") {
  FetcherFixture fixture;

  SECTION("if it announced the revision before it became unresponsive") {
    const Member unresponsive = fixture.AddUnresponsivePeer();
    const Member peer = fixture.AddPeer(kNew);
    fixture.ReportRevision(kNew, unresponsive);
    fixture.ReportRevision(kNew, peer);
    fixture.Run();
    CHECK(fixture.local() == kNew);
    CHECK(fixture.pending_calls().value_or(0) == 1);
  }
  SECTION("if a fetch was pending before there was a new revision") {
    fixture.AddUnresponsivePeer();
    fixture.Start();
    fixture.ReportRevision(kNew, fixture.AddPeer(kNew));
    fixture.Run();
    CHECK(fixture.local() == kNew);
    CHECK(fixture.pending_calls().value_or(0) == 1);
  }
  SECTION("if all but one of the announcing peers are unresponsive") {
    const std::vector<Member> unresponsive = {fixture.AddUnresponsivePeer(),
                                              fixture.AddUnresponsivePeer()};
    const Member peer = fixture.AddPeer(kNew);
    for (const Member& member : unresponsive)
      fixture.ReportRevision(kNew, member);
    fixture.ReportRevision(kNew, peer);
    fixture.Run();
    CHECK(fixture.local() == kNew);
    CHECK(fixture.pending_calls().value_or(0) >= 1);
  }
}

TEST_CASE("a silent persistent connection does not delay a configuration") {
  FetcherFixture fixture;
  const Member peer = fixture.AddRelayedPeer(kNew);
  fixture.ReportRevision(kNew, peer);
  fixture.Run();
  REQUIRE(fixture.local() == kNew);

  fixture.SilenceOpenConnections();
  fixture.ApplyAtPeer(kNewer);
  fixture.ReportRevision(kNewer, peer);
  fixture.RunUntilTimeout();
  CHECK(fixture.local() == kNewer);
}

}  // namespace
}  // namespace chestnutport::fleet_configuration
