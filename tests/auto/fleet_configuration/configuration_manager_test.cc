// When a node knows that it is behind. Without this, it would call a key
// unknown that a newer revision declares.
#include "fleet_configuration/configuration_manager.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "configuration/fetch.h"
#include "http_client/http_client.h"
#include "net/http_server.h"
#include "node/native_configuration_format.h"
#include "platform/hosted_store_protocol.h"

namespace chestnutport::fleet_configuration {
namespace {

const control_calls::PeerKeys kKeys{.current = "key", .previous = ""};
const base::SocketAddress kAnyPort = *base::SocketAddress::Parse("127.0.0.1:0");
constexpr std::chrono::seconds kTimeout(2);
constexpr uint64_t kRevision = 1;

using Steps = std::vector<std::string>;

// A manager whose store has no entries, and a peer without a configuration.
class ManagerFixture {
 public:
  ManagerFixture()
      : store_(net::HttpServer::Open(
                   loop_,
                   kAnyPort,
                   {},
                   [](const net::HttpRequest&, net::Reply reply) {
                     reply.Send({.status = 404, .body = R"({"asOf": 7})"});
                   })
                   .value()),
        http_(loop_, {}),
        client_(http_,
                {store_->address()},
                kTimeout,
                store::AnyStoreProtocol::Of(platform::HostedStoreProtocol())),
        listener_(loop_, kKeys),
        peer_listener_(loop_, kKeys),
        caller_(loop_, kKeys) {
    settings_.fleet = "fleet";
    peer_listener_.Add(configuration::kFetchMethod, [this](const auto& params) {
      ++fetches;
      const auto request = configuration::FetchRequest::FromJson(params);
      return configuration::MakeFetchResponse(*request, peer_local_, packed_)
          .ToJson();
    });
    REQUIRE(peer_listener_.Listen(kAnyPort));
    self_.id = base::NodeId{1};
    peer_.id = base::NodeId{2};
    peer_.control_address = peer_listener_.address();
    manager_ = std::make_unique<ConfigurationManager>(
        loop_, client_, listener_, caller_,
        AnyConfigurationFormat::Of(node::NativeConfigurationFormat("fleet")),
        settings_,
        ConfigurationReader::FleetCallbacks{
            .last_contact = [this] { return loop_.now(); },
            .report_store_lost = [](bool) {}},
        base::Random(1));
    manager_->Start([this](uint64_t) { steps.push_back("in force"); },
                    [this](bool is_behind) {
                      steps.push_back(is_behind ? "behind" : "current");
                    });
    manager_->SetMembers(self_, {peer_});
  }

  void ReportRevision(uint64_t revision) {
    manager_->OnRevisionReported(revision, peer_);
  }
  void ApplyAtPeer() {
    const declarations::DeclarationTexts texts = {{"a", "[service]\n"}};
    peer_local_.Apply(
        configuration::NextHead({}, configuration::MakeManifest(texts),
                                {.plan_id = "1"}),
        configuration::MakeDocuments(texts));
  }
  // Runs the loop until `holds`, for at most ten seconds.
  template <typename Condition>
  bool RunUntil(Condition holds) {
    for (int i = 0; i < 1000 && !holds(); ++i) {
      loop_.CallAfter(std::chrono::milliseconds(10), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return holds();
  }
  const ConfigurationManager& manager() const { return *manager_; }

  Steps steps;  // What the manager reported, in order.
  int fetches = 0;

 private:
  net::EventLoop loop_;
  settings::NodeSettings settings_;
  std::unique_ptr<net::HttpServer> store_;
  http_client::HttpClient http_;
  store::StoreClient client_;
  control_calls::ControlListener listener_;
  control_calls::ControlListener peer_listener_;
  control_calls::ControlCaller caller_;
  configuration::LocalConfiguration peer_local_;
  configuration::PackedDocumentCache packed_;
  membership::Member self_;
  membership::Member peer_;
  std::unique_ptr<ConfigurationManager> manager_;
};

TEST_CASE("a node that learns of a newer revision") {
  ManagerFixture fixture;
  CHECK_FALSE(fixture.manager().IsBehind());
  fixture.ReportRevision(kRevision);
  CHECK(fixture.manager().IsBehind());
  CHECK(fixture.steps == Steps{"behind"});

  SECTION("reports this once while it cannot apply the revision") {
    CHECK(fixture.RunUntil([&] { return fixture.fetches > 0; }));
    fixture.ReportRevision(kRevision);
    CHECK(fixture.steps == Steps{"behind"});
  }
  SECTION("reports the end only after the revision is in force") {
    fixture.ApplyAtPeer();
    CHECK(fixture.RunUntil([&] { return fixture.steps.size() > 2; }));
    CHECK(fixture.steps == Steps{"behind", "in force", "current"});
    CHECK_FALSE(fixture.manager().IsBehind());
  }
}

}  // namespace
}  // namespace chestnutport::fleet_configuration
