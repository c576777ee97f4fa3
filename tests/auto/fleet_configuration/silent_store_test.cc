// Guards against a confirmed configuration that is in force late because
// connections to the store went silent.
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "fleet_configuration/configuration_reader.h"
#include "http_client/http_client.h"
#include "platform/hosted_configuration_format.h"
#include "platform/hosted_store_protocol.h"
#include "store/store_connections.h"
#include "support/hosted_platform.h"
#include "support/relay.h"

namespace chestnutport::fleet_configuration {
namespace {

// Time within which a confirmed configuration has to be in force.
constexpr std::chrono::seconds kBound(2);
// Time-out of a call to the store.
constexpr std::chrono::seconds kTimeout(1);
constexpr std::chrono::seconds kPatience(30);
constexpr uint64_t kOld = 7;
constexpr uint64_t kNew = 8;

std::string ConfigurationText(uint64_t revision) {
  return absl::StrCat(R"({"version":)", revision,
                      R"(,"routes":{"columns":["name"],"rows":[]},)",
                      R"("services":{"columns":["name"],"rows":[]},)",
                      R"("limits":{}})");
}

// A node that is alone with the store, behind a relay, and reads it.
class SilentStoreFixture {
 public:
  SilentStoreFixture()
      : relay_(platform_.store_address()),
        http_(loop_, store::StoreConnections()),
        client_(http_,
                {relay_.address()},
                kTimeout,
                store::AnyStoreProtocol::Of(platform::HostedStoreProtocol())),
        configuration_(
            client_,
            AnyConfigurationFormat::Of(platform::HostedConfigurationFormat()),
            "fleet"),
        reader_(loop_,
                configuration_,
                local_,
                random_,
                kTimeout,
                {.last_contact = [this] { return loop_.now(); },
                 .report_store_lost = [](bool /*has_lost*/) {}},
                [this](const auto& head, const auto& documents) {
                  local_.Apply(head, documents);
                  largest_revision_ =
                      std::max(largest_revision_, head.revision);
                }) {
    Confirm(kOld);
    membership::Member self;
    self.id = base::NodeId::Draw(random_);
    self.data_centre = "one";
    reader_.SetMembers(self, {self});
    reader_.Start();
  }

  void Confirm(uint64_t revision) {
    platform_.Put("op/config", ConfigurationText(revision));
  }
  // Writes an entry that is no configuration.
  void WriteInvalid() { platform_.Put("op/config", R"({"version":)"); }

  bool IsInForce(uint64_t revision) const {
    return local_.head().revision == revision;
  }
  // Waits for a watch that begins after this call.
  bool WaitForNextWatch() {
    const size_t before = CallCount("kv-watch");
    return IsMetWithin(kPatience,
                       [&] { return CallCount("kv-watch") > before; });
  }
  // Returns how often the store received a read of the configuration.
  size_t read_count() { return CallCount("kv-key?key=op"); }
  // Makes a call of another kind, whose connection is idle afterwards.
  bool LeaveIdleConnection() {
    bool is_done = false;
    client_.Read("other", [&](const auto&) { is_done = true; });
    return IsMetWithin(kPatience, [&] { return is_done; });
  }
  void Pause(base::Duration time) {
    IsMetWithin(time, [] { return false; });
  }

  template <typename Condition>
  bool IsMetWithin(base::Duration limit, Condition condition) {
    bool is_over = false;
    const auto timer = loop_.CallAfter(limit, [&] { is_over = true; });
    while (!is_over && !condition()) {
      loop_.CallAfter(std::chrono::milliseconds(10), [this] { loop_.Stop(); });
      loop_.Run();
    }
    loop_.Cancel(timer);
    return condition();
  }

  test::Relay& relay() { return relay_; }
  uint64_t largest_revision() const { return largest_revision_; }

 private:
  size_t CallCount(const std::string& kind) {
    size_t count = 0;
    for (const std::string& call : platform_.StoreCalls())
      count += call.find(kind) != std::string::npos ? 1 : 0;
    return count;
  }

  test::HostedPlatform platform_;
  test::Relay relay_;
  net::EventLoop loop_;
  http_client::HttpClient http_;
  store::StoreClient client_;
  ConfigurationStore configuration_;
  configuration::LocalConfiguration local_;
  base::Random random_{1};
  uint64_t largest_revision_ = 0;
  ConfigurationReader reader_;
};

TEST_CASE("a change confirmed while connections to the store are silent") {
  SilentStoreFixture fixture;
  REQUIRE(
      fixture.IsMetWithin(kPatience, [&] { return fixture.IsInForce(kOld); }));
  REQUIRE(fixture.WaitForNextWatch());
  const auto is_new_in_force = [&] { return fixture.IsInForce(kNew); };

  SECTION("is in force in time after the watch went silent") {
    fixture.relay().SilenceOpenConnections();
    fixture.Confirm(kNew);
    CHECK(fixture.IsMetWithin(kBound, is_new_in_force));
  }
  SECTION("is in force in time if an idle connection went silent as well") {
    fixture.Pause(std::chrono::milliseconds(600));
    REQUIRE(fixture.LeaveIdleConnection());
    fixture.relay().SilenceOpenConnections();
    fixture.Confirm(kNew);
    CHECK(fixture.IsMetWithin(kBound, is_new_in_force));
  }
  SECTION("is in force in time if the next read goes silent too") {
    fixture.Pause(std::chrono::milliseconds(300));
    fixture.relay().SilenceOpenConnections();
    fixture.Confirm(kNew);
    fixture.relay().DropAnswers(true);
    const size_t reads = fixture.read_count();
    bool is_silenced = false;
    CHECK(fixture.IsMetWithin(kBound, [&] {
      if (!is_silenced && fixture.read_count() > reads) {
        fixture.relay().SilenceOpenConnections();
        fixture.relay().DropAnswers(false);
        is_silenced = true;
      }
      return is_new_in_force();
    }));
    CHECK(is_silenced);
  }
  SECTION("is in force in time if the store takes 400 ms to respond") {
    fixture.relay().SetDelay(std::chrono::milliseconds(200));
    fixture.Pause(std::chrono::milliseconds(300));
    fixture.relay().SilenceOpenConnections();
    fixture.Confirm(kNew);
    CHECK(fixture.IsMetWithin(kBound, is_new_in_force));
  }
  SECTION("is in force if an entry before it could not be parsed") {
    fixture.WriteInvalid();
    fixture.relay().SilenceOpenConnections();
    fixture.Pause(std::chrono::milliseconds(100));
    CHECK(fixture.IsInForce(kOld));
    fixture.Confirm(kNew);
    CHECK(fixture.IsMetWithin(kBound, is_new_in_force));
    CHECK(fixture.largest_revision() == kNew);
  }
}

}  // namespace
}  // namespace chestnutport::fleet_configuration
