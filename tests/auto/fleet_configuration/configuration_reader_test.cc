// Which nodes ask the store for the configuration, and when. Counts calls; a
// limit is a timer of the same loop, set together with what it is compared to.
#include "fleet_configuration/configuration_reader.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "configuration/reader_ranks.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/native_configuration_format.h"
#include "platform/hosted_store_form.h"

namespace chestnutport::fleet_configuration {
namespace {

using membership::Member;
using membership::MemberState;

// More than read the store.
constexpr size_t kNodes = configuration::kSmallFleet + 4;
constexpr std::chrono::seconds kTimeout(2);

// A store without any entry, which holds watches.
class EmptyStore {
 public:
  explicit EmptyStore(net::EventLoop& loop)
      : server_(net::HttpServer::Open(
                    loop,
                    *base::SocketAddress::Parse("127.0.0.1:0"),
                    {},
                    [this](const net::HttpRequest& request, net::Reply reply) {
                      OnRequest(request, std::move(reply));
                    })
                    .value()) {}

  const base::SocketAddress& address() const { return server_->address(); }

  // The time of all watches is up, without news.
  void EndWatches() {
    for (net::Reply& reply : std::exchange(held_, {}))
      reply.Send({.body = R"({"events": [], "asOf": 7})"});
  }
  // All watches are told of a next revision.
  void Change() {
    configuration::Head head;
    head.revision = ++revision_;
    const nlohmann::json event = {{"key", configuration::HeadKey("fleet")},
                                  {"value", absl::Base64Escape(head.ToJson())},
                                  {"revision", 7 + revision_}};
    const nlohmann::json body = {{"events", nlohmann::json::array({event})},
                                 {"asOf", 7 + revision_}};
    for (net::Reply& reply : std::exchange(held_, {}))
      reply.Send({.body = body.dump()});
  }
  // From now on calls are answered so; zero: never. Unset: as usual.
  std::optional<int> failure;
  // Answers the calls that were left without an answer.
  void AnswerReads() {
    for (net::Reply& reply : std::exchange(unanswered_, {}))
      reply.Send({.status = 404, .body = R"({"asOf": 7})"});
  }

  int reads = 0;
  int watches = 0;

 private:
  void OnRequest(const net::HttpRequest& request, net::Reply reply) {
    if (request.target.find("kv-watch") != std::string::npos) {
      ++watches;
      held_.push_back(std::move(reply));
      return;
    }
    ++reads;
    if (failure == 0)
      unanswered_.push_back(std::move(reply));
    else if (failure)
      reply.Send({.status = *failure});
    else
      reply.Send({.status = 404, .body = R"({"asOf": 7})"});
  }

  std::unique_ptr<net::HttpServer> server_;
  std::vector<net::Reply> held_;
  uint64_t revision_ = 0;
  std::vector<net::Reply> unanswered_;
};

class Scene {
 public:
  Scene()
      : store_(loop_),
        http_(loop_, {}),
        client_(http_,
                {store_.address()},
                kTimeout,
                store::AnyStoreForm::Of(platform::HostedStoreForm())),
        configuration_(
            client_,
            AnyConfigurationForm::Of(node::NativeConfigurationFormat("fleet")),
            "fleet"),
        reader_(
            loop_,
            configuration_,
            held_,
            random_,
            std::chrono::seconds(1),
            {.heard_at = [this] { return heard_at ? heard_at : loop_.now(); },
             .tell_store_lost =
                 [this](bool lost) { told_lost.push_back(lost); }},
            [](const auto&, const auto&) {}) {
    for (size_t i = 0; i < kNodes; ++i) {
      Member member;
      member.id = base::NodeId::Draw(random_);
      member.data_centre = "one";
      members.push_back(member);
    }
  }

  // Starts the reader as the first member of which `holds` is true.
  template <typename Condition>
  void StartAs(Condition holds) {
    for (const Member& member : members) {
      if (holds(member))
        self_ = member;
    }
    SetMembers();
    reader_.Start();
  }
  void SetMembers() { reader_.SetMembers(self_, members); }

  template <typename Condition>
  bool HoldsWithin(base::Duration limit, Condition holds) {
    bool is_over = false;
    const auto timer = loop_.CallAfter(limit, [&] { is_over = true; });
    while (!is_over && !holds()) {
      loop_.CallAfter(std::chrono::milliseconds(10), [this] { loop_.Stop(); });
      loop_.Run();
    }
    loop_.Cancel(timer);
    return holds();
  }

  EmptyStore& store() { return store_; }

  std::vector<Member> members;
  std::optional<base::Instant> heard_at;  // Nothing: all the time.
  std::vector<bool> told_lost;            // What others were told, in order.

 private:
  net::EventLoop loop_;
  EmptyStore store_;
  net::HttpClient http_;
  store::StoreClient client_;
  ConfigurationStore configuration_;
  configuration::HeldConfiguration held_;
  base::Random random_{1};
  Member self_;
  ConfigurationReader reader_;
};

TEST_CASE("a node that is no reader of its data centre") {
  Scene scene;
  scene.StartAs([&](const Member& member) {
    return !configuration::ReaderRanks(scene.members).IsReader(member);
  });

  SECTION("does not ask the store while it hears from others") {
    CHECK_FALSE(scene.HoldsWithin(std::chrono::seconds(3),
                                  [&] { return scene.store().reads > 0; }));
  }
  SECTION("asks when it hears from nobody, though none counts as lost yet") {
    scene.heard_at = base::Clock::now();
    CHECK(scene.HoldsWithin(std::chrono::seconds(2),
                            [&] { return scene.store().reads > 0; }));
    CHECK(scene.HoldsWithin(std::chrono::seconds(2),
                            [&] { return scene.store().watches > 0; }));
    SECTION("and no more once it hears from one") {
      scene.heard_at.reset();
      const int reads = scene.store().reads;
      scene.store().EndWatches();
      CHECK_FALSE(scene.HoldsWithin(std::chrono::seconds(2), [&] {
        return scene.store().watches > 1 || scene.store().reads > reads;
      }));
    }
  }
}

TEST_CASE("changes in quick succession") {
  constexpr std::chrono::milliseconds kSoon(500);
  Scene scene;
  const auto has_watches = [&](int count) {
    return [&, count] { return scene.store().watches >= count; };
  };

  SECTION("are heard one by one by an alert reader") {
    scene.StartAs([&](const Member& member) {
      return configuration::ReaderRanks(scene.members).IsAlertReader(member);
    });
    REQUIRE(scene.HoldsWithin(std::chrono::seconds(30), has_watches(1)));
    const int before = scene.store().watches;
    scene.store().Change();
    CHECK(scene.HoldsWithin(kSoon, has_watches(before + 1)));
  }
  SECTION("cost other readers one watch a second, as they are told of them") {
    scene.StartAs([&](const Member& member) {
      return configuration::ReaderRanks(scene.members).IsReader(member) &&
             !configuration::ReaderRanks(scene.members).IsAlertReader(member);
    });
    REQUIRE(scene.HoldsWithin(std::chrono::seconds(30), has_watches(1)));
    const int reads = scene.store().reads;
    scene.store().Change();
    CHECK_FALSE(scene.HoldsWithin(kSoon, has_watches(2)));
    CHECK(scene.HoldsWithin(configuration::kPauseAfterChange, has_watches(2)));
    CHECK(scene.store().reads == reads);
  }
}

TEST_CASE("a reader that becomes an alert one") {
  Scene scene;
  auto without_first = scene.members;
  for (Member& member : without_first) {
    if (configuration::ReaderRanks(scene.members).IsAlertReader(member))
      member.state = MemberState::kSuspected;
  }
  scene.StartAs([&](const Member& member) {
    return !configuration::ReaderRanks(scene.members).IsAlertReader(member) &&
           configuration::ReaderRanks(without_first).IsAlertReader(member);
  });
  REQUIRE(scene.HoldsWithin(std::chrono::seconds(30),
                            [&] { return scene.store().watches == 1; }));
  const int reads = scene.store().reads;
  scene.members = without_first;
  scene.SetMembers();

  SECTION("reads at once, and does not wait for its long watch to end") {
    CHECK(scene.HoldsWithin(configuration::kShortestWatch,
                            [&] { return scene.store().reads > reads; }));
    CHECK(scene.HoldsWithin(configuration::kShortestWatch,
                            [&] { return scene.store().watches > 1; }));
  }
}

TEST_CASE("a reader tells the others of its way to the store") {
  Scene scene;
  scene.StartAs([&](const Member& member) {
    return configuration::ReaderRanks(scene.members).IsAlertReader(member);
  });
  REQUIRE(scene.HoldsWithin(std::chrono::seconds(30),
                            [&] { return scene.store().watches > 0; }));
  CHECK(scene.told_lost.empty());

  SECTION("when its watch is not answered any more") {
    CHECK(scene.HoldsWithin(std::chrono::seconds(2),
                            [&] { return !scene.told_lost.empty(); }));
    SECTION("and that it has the store again, as it reads it") {
      CHECK(scene.HoldsWithin(std::chrono::seconds(2), [&] {
        return scene.told_lost == std::vector<bool>{true, false};
      }));
    }
  }
  SECTION("when its readings are refused") {
    scene.store().failure = 503;
    scene.store().EndWatches();
    CHECK(scene.HoldsWithin(std::chrono::seconds(10), [&] {
      return scene.told_lost == std::vector<bool>{true};
    }));
  }
  SECTION("when a reading takes long, before it is given up") {
    scene.store().failure = 0;
    const int reads = scene.store().reads;
    REQUIRE(scene.HoldsWithin(std::chrono::seconds(10),
                              [&] { return scene.store().reads > reads; }));
    CHECK(scene.HoldsWithin(kTimeout / 2, [&] {
      return scene.told_lost == std::vector<bool>{true};
    }));
    SECTION("and not when it is slow but answers in the end") {
      scene.store().failure.reset();
      scene.store().AnswerReads();
      CHECK(scene.HoldsWithin(kTimeout / 2, [&] {
        return scene.told_lost == std::vector<bool>{true, false};
      }));
    }
  }
}

TEST_CASE("a reader whose watch is long, as another one loses the store") {
  Scene scene;
  scene.StartAs([&](const Member& member) {
    return configuration::ReaderRanks(scene.members).IsReader(member) &&
           !configuration::ReaderRanks(scene.members).IsAlertReader(member);
  });
  REQUIRE(scene.HoldsWithin(std::chrono::seconds(30),
                            [&] { return scene.store().watches == 1; }));
  const int reads = scene.store().reads;
  const auto alert =
      std::ranges::find_if(scene.members, [&](const Member& member) {
        return configuration::ReaderRanks(scene.members).IsAlertReader(member);
      });
  alert->has_lost_store = true;
  scene.SetMembers();

  SECTION("reads at once, and finds out whether it is cut off as well") {
    CHECK(scene.HoldsWithin(configuration::kShortestWatch,
                            [&] { return scene.store().reads > reads; }));
  }
}

}  // namespace
}  // namespace chestnutport::fleet_configuration
