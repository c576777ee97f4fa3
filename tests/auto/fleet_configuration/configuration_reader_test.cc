// Which nodes read the configuration from the store, and when. Counts calls.
// Time limits are timers of the same event loop, started together with the
// operation that they limit.
#include "fleet_configuration/configuration_reader.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "configuration/reader_selection.h"
#include "http_client/http_client.h"
#include "net/http_server.h"
#include "node/native_configuration_format.h"
#include "platform/hosted_store_protocol.h"

namespace chestnutport::fleet_configuration {
namespace {

using membership::Member;
using membership::MemberState;

// More than in a small fleet, where every node is a reader.
constexpr size_t kNodes = configuration::kSmallFleetSize + 4;
constexpr std::chrono::seconds kTimeout(2);

// A store without entries that keeps watches open.
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

  // Ends all watches without a change.
  void EndWatches() {
    for (net::Reply& reply : std::exchange(pending_watches_, {}))
      reply.Send({.body = R"({"events": [], "asOf": 7})"});
  }
  // Ends all watches with a new revision.
  void Change() {
    configuration::Head head;
    head.revision = ++revision_;
    const nlohmann::json event = {{"key", configuration::HeadKey("fleet")},
                                  {"value", absl::Base64Escape(head.ToJson())},
                                  {"revision", 7 + revision_}};
    const nlohmann::json body = {{"events", nlohmann::json::array({event})},
                                 {"asOf", 7 + revision_}};
    for (net::Reply& reply : std::exchange(pending_watches_, {}))
      reply.Send({.body = body.dump()});
  }
  // Status of all further responses; zero if there are none. Unset for normal
  // operation.
  std::optional<int> failure;
  // Responds to the reads that are still pending.
  void CompletePendingReads() {
    for (net::Reply& reply : std::exchange(pending_reads_, {}))
      reply.Send({.status = 404, .body = R"({"asOf": 7})"});
  }

  int reads = 0;
  int watches = 0;

 private:
  void OnRequest(const net::HttpRequest& request, net::Reply reply) {
    if (request.target.find("kv-watch") != std::string::npos) {
      ++watches;
      pending_watches_.push_back(std::move(reply));
      return;
    }
    ++reads;
    if (failure == 0)
      pending_reads_.push_back(std::move(reply));
    else if (failure)
      reply.Send({.status = *failure});
    else
      reply.Send({.status = 404, .body = R"({"asOf": 7})"});
  }

  std::unique_ptr<net::HttpServer> server_;
  std::vector<net::Reply> pending_watches_;
  uint64_t revision_ = 0;
  std::vector<net::Reply> pending_reads_;
};

class ReaderFixture {
 public:
  explicit ReaderFixture(bool needs_proofs = false)
      : store_(loop_),
        http_(loop_, {}),
        client_(http_,
                {store_.address()},
                kTimeout,
                store::AnyStoreProtocol::Of(platform::HostedStoreProtocol())),
        configuration_(client_,
                       AnyConfigurationFormat::Of(
                           node::NativeConfigurationFormat("fleet")),
                       "fleet"),
        reader_(
            loop_,
            configuration_,
            local_,
            random_,
            std::chrono::seconds(1),
            {.last_contact =
                 [this] { return last_contact ? last_contact : loop_.now(); },
             .report_store_lost =
                 [this](bool lost) { reported_lost.push_back(lost); },
             .needs_proofs = needs_proofs},
            [](const auto&, const auto&) {}) {
    reader_.OnStoreRead([this](uint64_t revision, base::BootInstant asked_at) {
      store_reads.emplace_back(revision, asked_at);
    });
    for (size_t i = 0; i < kNodes; ++i) {
      Member member;
      member.id = base::NodeId::Draw(random_);
      member.data_centre = "one";
      members.push_back(member);
    }
  }

  // Starts the reader as the last member for which `condition` is true.
  template <typename Condition>
  void StartAs(Condition condition) {
    for (const Member& member : members) {
      if (condition(member))
        self_ = member;
    }
    SetMembers();
    reader_.Start();
  }
  void SetMembers() { reader_.SetMembers(self_, members); }

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

  EmptyStore& store() { return store_; }

  std::vector<Member> members;
  std::optional<base::Instant> last_contact;  // Unset for permanent contact.
  std::vector<bool> reported_lost;  // Reports to the other nodes, in order.
  std::vector<std::pair<uint64_t, base::BootInstant>> store_reads;

 private:
  net::EventLoop loop_;
  EmptyStore store_;
  http_client::HttpClient http_;
  store::StoreClient client_;
  ConfigurationStore configuration_;
  configuration::LocalConfiguration local_;
  base::Random random_{1};
  Member self_;
  ConfigurationReader reader_;
};

TEST_CASE("a node that is not a reader of its data centre") {
  ReaderFixture fixture;
  fixture.StartAs([&](const Member& member) {
    return !configuration::ReaderSelection(fixture.members).IsReader(member);
  });

  SECTION("does not read the store while it has contact with others") {
    CHECK_FALSE(fixture.IsMetWithin(std::chrono::seconds(3),
                                    [&] { return fixture.store().reads > 0; }));
  }
  SECTION("reads when it is isolated, before the others count as failed") {
    fixture.last_contact = base::Clock::now();
    CHECK(fixture.IsMetWithin(std::chrono::seconds(2),
                              [&] { return fixture.store().reads > 0; }));
    CHECK(fixture.IsMetWithin(std::chrono::seconds(2),
                              [&] { return fixture.store().watches > 0; }));
    SECTION("and stops after the next contact") {
      fixture.last_contact.reset();
      const int reads = fixture.store().reads;
      fixture.store().EndWatches();
      CHECK_FALSE(fixture.IsMetWithin(std::chrono::seconds(2), [&] {
        return fixture.store().watches > 1 || fixture.store().reads > reads;
      }));
    }
  }
}

TEST_CASE("changes in quick succession") {
  constexpr std::chrono::milliseconds kSoon(500);
  ReaderFixture fixture;
  const auto has_watches = [&](int count) {
    return [&, count] { return fixture.store().watches >= count; };
  };

  SECTION("are all watched by a short-watch reader") {
    fixture.StartAs([&](const Member& member) {
      return configuration::ReaderSelection(fixture.members)
          .IsShortWatchReader(member);
    });
    REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30), has_watches(1)));
    const int before = fixture.store().watches;
    fixture.store().Change();
    CHECK(fixture.IsMetWithin(kSoon, has_watches(before + 1)));
  }
  SECTION("cost other readers at most one watch a second") {
    fixture.StartAs([&](const Member& member) {
      return configuration::ReaderSelection(fixture.members).IsReader(member) &&
             !configuration::ReaderSelection(fixture.members)
                  .IsShortWatchReader(member);
    });
    REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30), has_watches(1)));
    const int reads = fixture.store().reads;
    fixture.store().Change();
    CHECK_FALSE(fixture.IsMetWithin(kSoon, has_watches(2)));
    CHECK(
        fixture.IsMetWithin(configuration::kDelayAfterChange, has_watches(2)));
    CHECK(fixture.store().reads == reads);
  }
}

TEST_CASE("a reader that becomes a short-watch reader") {
  ReaderFixture fixture;
  auto without_first = fixture.members;
  for (Member& member : without_first) {
    if (configuration::ReaderSelection(fixture.members)
            .IsShortWatchReader(member))
      member.state = MemberState::kSuspected;
  }
  fixture.StartAs([&](const Member& member) {
    return !configuration::ReaderSelection(fixture.members)
                .IsShortWatchReader(member) &&
           configuration::ReaderSelection(without_first)
               .IsShortWatchReader(member);
  });
  REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30),
                              [&] { return fixture.store().watches == 1; }));
  const int reads = fixture.store().reads;
  fixture.members = without_first;
  fixture.SetMembers();

  SECTION("reads immediately, without waiting for its long watch to end") {
    CHECK(fixture.IsMetWithin(configuration::kMinLongWatch,
                              [&] { return fixture.store().reads > reads; }));
    CHECK(fixture.IsMetWithin(configuration::kMinLongWatch,
                              [&] { return fixture.store().watches > 1; }));
  }
}

// Guards against proofs that count from the response, or without one.
TEST_CASE("a reader reports what the store held, and when it was asked") {
  ReaderFixture fixture(/*needs_proofs=*/true);
  const base::BootInstant start = base::BootClock::now();
  fixture.StartAs([&](const Member& member) {
    return configuration::ReaderSelection(fixture.members)
        .IsShortWatchReader(member);
  });
  auto& store_reads = fixture.store_reads;

  SECTION("with each read") {
    // Responses are held back, so that they arrive after `asked_before`.
    fixture.store().failure = 0;
    REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30),
                                [&] { return fixture.store().reads > 0; }));
    const base::BootInstant asked_before = base::BootClock::now();
    CHECK(store_reads.empty());
    fixture.store().CompletePendingReads();
    REQUIRE(fixture.IsMetWithin(std::chrono::seconds(5),
                                [&] { return store_reads.size() == 1; }));
    CHECK(store_reads[0].first == 0);
    CHECK(store_reads[0].second >= start);
    CHECK(store_reads[0].second <= asked_before);
  }
  SECTION("with each watch") {
    REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30),
                                [&] { return fixture.store().watches == 1; }));
    const base::BootInstant asked_before = base::BootClock::now();
    const size_t reported = store_reads.size();
    SECTION("that ends without a change") {
      fixture.store().EndWatches();
      REQUIRE(fixture.IsMetWithin(std::chrono::seconds(5), [&] {
        return store_reads.size() > reported;
      }));
      CHECK(store_reads.back().first == 0);
      CHECK(store_reads.back().second <= asked_before);
      CHECK(store_reads.back().second >= store_reads.front().second);
    }
    SECTION("that ends with a change") {
      fixture.store().Change();
      REQUIRE(fixture.IsMetWithin(std::chrono::seconds(5), [&] {
        return store_reads.size() > reported;
      }));
      CHECK(store_reads.back().first == 1);
      CHECK(store_reads.back().second <= asked_before);
    }
    SECTION("but not with one that gets no response, or a refused read") {
      fixture.store().failure = 503;
      CHECK(fixture.IsMetWithin(std::chrono::seconds(5), [&] {
        return !fixture.reported_lost.empty();
      }));
      CHECK(store_reads.size() == reported);
    }
  }
}

TEST_CASE("a reader reports the loss of the store") {
  ReaderFixture fixture;
  fixture.StartAs([&](const Member& member) {
    return configuration::ReaderSelection(fixture.members)
        .IsShortWatchReader(member);
  });
  REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30),
                              [&] { return fixture.store().watches > 0; }));
  CHECK(fixture.reported_lost.empty());

  SECTION("when its watch times out") {
    CHECK(fixture.IsMetWithin(std::chrono::seconds(2),
                              [&] { return !fixture.reported_lost.empty(); }));
    SECTION("and its recovery after the next read") {
      CHECK(fixture.IsMetWithin(std::chrono::seconds(2), [&] {
        return fixture.reported_lost == std::vector<bool>{true, false};
      }));
    }
  }
  SECTION("when its reads are refused") {
    fixture.store().failure = 503;
    fixture.store().EndWatches();
    CHECK(fixture.IsMetWithin(std::chrono::seconds(10), [&] {
      return fixture.reported_lost == std::vector<bool>{true};
    }));
  }
  SECTION("when a read is slow, before it times out") {
    fixture.store().failure = 0;
    const int reads = fixture.store().reads;
    REQUIRE(fixture.IsMetWithin(std::chrono::seconds(10),
                                [&] { return fixture.store().reads > reads; }));
    CHECK(fixture.IsMetWithin(kTimeout / 2, [&] {
      return fixture.reported_lost == std::vector<bool>{true};
    }));
    SECTION("and its recovery when the slow response arrives") {
      fixture.store().failure.reset();
      fixture.store().CompletePendingReads();
      CHECK(fixture.IsMetWithin(kTimeout / 2, [&] {
        return fixture.reported_lost == std::vector<bool>{true, false};
      }));
    }
  }
}

TEST_CASE(
    "a reader with long watches, when a short-watch reader loses the store") {
  ReaderFixture fixture;
  fixture.StartAs([&](const Member& member) {
    return configuration::ReaderSelection(fixture.members).IsReader(member) &&
           !configuration::ReaderSelection(fixture.members)
                .IsShortWatchReader(member);
  });
  REQUIRE(fixture.IsMetWithin(std::chrono::seconds(30),
                              [&] { return fixture.store().watches == 1; }));
  const int reads = fixture.store().reads;
  const auto short_watch_reader =
      std::ranges::find_if(fixture.members, [&](const Member& member) {
        return configuration::ReaderSelection(fixture.members)
            .IsShortWatchReader(member);
      });
  short_watch_reader->has_lost_store = true;
  fixture.SetMembers();

  SECTION("reads immediately to check whether it has lost the store too") {
    CHECK(fixture.IsMetWithin(configuration::kMinLongWatch,
                              [&] { return fixture.store().reads > reads; }));
  }
}

}  // namespace
}  // namespace chestnutport::fleet_configuration
