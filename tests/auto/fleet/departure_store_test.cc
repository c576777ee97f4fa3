// Guards against a leave that is said to be stored and is not, and against
// entries that are lost, outdated or of another writer.
#include "fleet/departure_store.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "fleet/departure_entry.h"
#include "platform/hosted_store_protocol.h"
#include "store/store_connections.h"
#include "support/hosted_platform.h"

namespace chestnutport::fleet {
namespace {

using std::chrono::milliseconds;

constexpr char kKey[] = "chestnutport/f/departures/10.0.0.1/7";
constexpr int kUnavailable = 503;
constexpr milliseconds kMaxRetryDelay(200);
constexpr milliseconds kLimit(10'000);

const base::ServerDeparture kDraining{"i-1", milliseconds(1000), false};
const base::ServerDeparture kLeft{"i-1", milliseconds(1000), true};
const base::ServerDeparture kOther{"i-2", milliseconds(2000), true};

// One run of a node.
class Run {
 public:
  explicit Run(test::HostedPlatform& platform, bool has_earlier_runs = true)
      : http_(loop_, store::StoreConnections()),
        client_(http_,
                {platform.store_address()},
                milliseconds(500),
                store::AnyStoreProtocol::Of(platform::HostedStoreProtocol())),
        departures(loop_,
                   client_,
                   kMaxRetryDelay,
                   {.read = [this](const auto& read) { found = read; },
                    .unavailable = [this] { ++failures; },
                    .stored = [this] { ++stores; }},
                   base::Random(1)) {
    departures.Start(kKey, has_earlier_runs);
  }

  // Returns whether `condition` holds within kLimit.
  bool RunUntil(const std::function<bool()>& condition) {
    const base::Instant end = base::Clock::now() + kLimit;
    while (!condition() && base::Clock::now() < end) {
      loop_.CallAfter(milliseconds(5), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return condition();
  }
  bool RunUntilRead() {
    return RunUntil([this] { return found.has_value(); });
  }
  bool RunUntilStored() {
    return RunUntil([this] { return departures.IsStored(); });
  }

 private:
  net::EventLoop loop_;
  http_client::HttpClient http_;
  store::StoreClient client_;

 public:
  std::optional<DepartureStore::Departures> found;
  int failures = 0;
  int stores = 0;
  DepartureStore departures;
};

// Calls to the store that concern the entry.
size_t Calls(test::HostedPlatform& platform) {
  const auto calls = platform.StoreCalls();
  return std::ranges::count_if(calls, [](const std::string& call) {
    return call.find("kv-txn") != std::string::npos ||
           call.find("departures") != std::string::npos;
  });
}

TEST_CASE("a node is told that its server leaves") {
  test::HostedPlatform platform;
  Run run(platform);
  REQUIRE(run.RunUntilRead());
  CHECK(run.found->empty());

  SECTION("the next run reads it") {
    run.departures.Keep({kDraining});
    CHECK_FALSE(run.departures.IsStored());
    REQUIRE(run.RunUntilStored());
    CHECK(run.stores == 1);
    Run next(platform);
    REQUIRE(next.RunUntilRead());
    CHECK(*next.found == DepartureStore::Departures{kDraining});
  }
  SECTION("one write is enough for the drain and the deregistration") {
    const size_t before = Calls(platform);
    run.departures.Keep({kDraining});
    REQUIRE(run.RunUntilStored());
    run.departures.Keep({kLeft});
    CHECK(run.departures.IsStored());
    CHECK(Calls(platform) == before + 1);
  }
  SECTION("it is not stored while the store is away, and is after that") {
    platform.set_failure(kUnavailable);
    run.departures.Keep({kLeft});
    const size_t before = Calls(platform);
    REQUIRE(run.RunUntil([&] { return Calls(platform) > before + 3; }));
    CHECK_FALSE(run.departures.IsStored());
    CHECK(run.stores == 0);
    platform.set_failure(0);
    CHECK(run.RunUntilStored());
  }
  SECTION("a name that is no text is stored") {
    run.departures.Keep({{"\xff\x01", milliseconds(1000), true}});
    CHECK(run.RunUntilStored());
  }
  SECTION("another one is told while the first is written") {
    run.departures.Keep({kLeft});
    run.departures.Keep({kLeft, kOther});
    REQUIRE(run.RunUntilStored());
    Run next(platform);
    REQUIRE(next.RunUntilRead());
    CHECK(*next.found == DepartureStore::Departures{kLeft, kOther});
  }
  SECTION("a server that stays after all is not found any more") {
    run.departures.Keep({kDraining});
    REQUIRE(run.RunUntilStored());
    run.departures.Keep({});
    REQUIRE(run.RunUntilStored());
    Run next(platform);
    REQUIRE(next.RunUntilRead());
    CHECK(next.found->empty());
  }
}

TEST_CASE("an earlier run was told that its server leaves") {
  test::HostedPlatform platform;
  {
    Run earlier(platform, false);
    earlier.departures.Keep({kLeft});
    REQUIRE(earlier.RunUntilStored());
  }

  SECTION("that is not overwritten before it was read") {
    platform.set_failure(kUnavailable);
    Run run(platform);
    run.departures.Keep({kOther});
    REQUIRE(run.RunUntil([&] { return run.failures > 0; }));
    CHECK_FALSE(run.departures.IsStored());
    platform.set_failure(0);
    REQUIRE(run.RunUntilRead());
    CHECK(*run.found == DepartureStore::Departures{kLeft});
    CHECK(run.failures == 1);
  }
  SECTION("a run that believes there is no entry writes all the same") {
    Run run(platform, false);
    run.departures.Keep({kOther});
    REQUIRE(run.RunUntilStored());
    Run next(platform);
    REQUIRE(next.RunUntilRead());
    CHECK(*next.found == DepartureStore::Departures{kOther});
  }
}

TEST_CASE("the entry is not of an earlier run") {
  test::HostedPlatform platform;
  const std::string text =
      GENERATE("", "{}", R"({"departures":[{}],"written_at":1})",
               R"({"departures":7,"written_at":"now"})", "\xff",
               R"({"departures":[{"instance":"i-1","started_at":1000,)"
               R"("has_left":true}],"written_at":1000})");
  platform.Put(kKey, text);
  Run run(platform);
  REQUIRE(run.RunUntilRead());
  CHECK(run.found->empty());
  run.departures.Keep({kLeft});
  REQUIRE(run.RunUntilStored());
  Run next(platform);
  REQUIRE(next.RunUntilRead());
  CHECK(*next.found == DepartureStore::Departures{kLeft});
}

}  // namespace
}  // namespace chestnutport::fleet
