#include "routing/server_chooser.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace chestnutport::routing {
namespace {

using base::Instant;
using base::NodeId;
using std::chrono::milliseconds;

constexpr milliseconds kUsual(10);

std::vector<ServerCandidate> Servers(int count) {
  std::vector<ServerCandidate> servers(count);
  for (int i = 0; i < count; ++i) {
    servers[i].node = NodeId{static_cast<uint64_t>(i) + 1};
    servers[i].data_centre = "poa-a";
    servers[i].region = "sul";
    servers[i].slots = 12;
  }
  return servers;
}

Locality LocalityIn(const char* data_centre) {
  return {data_centre, "sul", NodeId{1000}};
}

// A chooser with its clock, and a count of how often each server was chosen.
struct ChooserFixture {
  explicit ChooserFixture(int servers) : ChooserFixture(Servers(servers)) {}
  explicit ChooserFixture(std::vector<ServerCandidate> servers)
      : candidates(std::move(servers)) {
    chooser.SetServers(candidates, now);
  }

  NodeId Choose(std::span<const NodeId> excluded = {}) {
    const auto* server = chooser.Choose(excluded, now, random);
    return server ? server->node : NodeId{};
  }

  // Makes calls one after another; `result_of` gives the result of each.
  template <typename ResultOf>
  void Serve(int calls, ResultOf result_of) {
    chosen.clear();
    for (int i = 0; i < calls; ++i) {
      const NodeId node = Choose();
      ++chosen[node];
      const AttemptResult result = result_of(node);
      chooser.OnSent(node, now);
      now += result.latency;
      chooser.OnEnded(node, result, now);
    }
  }

  std::vector<ServerCandidate> candidates;
  ServerChooser chooser{LocalityIn("poa-a")};
  base::Random random{1};
  Instant now{std::chrono::seconds(1)};
  std::map<NodeId, int> chosen;
};

constexpr NodeId kOutlier{3};  // The server that behaves differently.

AttemptResult Answered(base::Duration latency = kUsual) {
  return {AttemptResultKind::kAnswered, latency, {}};
}

TEST_CASE("Slow or failing servers get little work") {
  ChooserFixture fixture(6);
  fixture.Serve(200, [](NodeId) { return Answered(); });
  CHECK(fixture.chosen[kOutlier] > 10);

  SECTION("a straggler") {
    const auto slow = [](NodeId node) {
      return Answered(node == kOutlier ? kUsual * 5 : kUsual);
    };
    fixture.Serve(600, slow);
    CHECK(fixture.chosen[kOutlier] < 600 / 6 / 4);
    SECTION("and it gets its share again once it has recovered") {
      fixture.now += std::chrono::seconds(10);
      fixture.Serve(600, [](NodeId) { return Answered(); });
      CHECK(fixture.chosen[kOutlier] > 600 / 6 / 2);
    }
  }
  SECTION("one that fails at once") {
    fixture.Serve(600, [](NodeId node) {
      return node == kOutlier ? AttemptResult{AttemptResultKind::kFailed,
                                              milliseconds(1),
                                              {}}
                              : Answered();
    });
    CHECK(fixture.chosen[kOutlier] < 600 / 6 / 4);
  }
  SECTION("one that is slow but reports to be idle") {
    fixture.Serve(600, [](NodeId node) {
      AttemptResult result = Answered(node == kOutlier ? kUsual * 3 : kUsual);
      result.load = wire::LoadReport{node == kOutlier ? 0 : 6, 12, 0, {}};
      return result;
    });
    CHECK(fixture.chosen[kOutlier] < 600 / 6);
  }
  SECTION("one that refuses although it is below its limit") {
    fixture.Serve(300, [](NodeId node) {
      AttemptResult result = Answered();
      if (node == kOutlier) {
        result = {AttemptResultKind::kRefused, milliseconds(1),
                  wire::LoadReport{2, 12, 0, {}}};
      }
      return result;
    });
    CHECK(fixture.chosen[kOutlier] < 300 / 6 / 2);
  }
  SECTION("one that does not respond") {
    fixture.chooser.OnSent(kOutlier, fixture.now);
    fixture.now += kUsual * 10;
    fixture.Serve(100, [](NodeId) { return Answered(); });
    CHECK(fixture.chosen[kOutlier] < 100 / 6 / 2);
  }
  SECTION("one with many requests of this node in flight") {
    for (int i = 0; i < 12; ++i)
      fixture.chooser.OnSent(kOutlier, fixture.now);
    fixture.chosen.clear();
    for (int i = 0; i < 50; ++i)
      ++fixture.chosen[fixture.Choose()];
    CHECK(fixture.chosen[kOutlier] == 0);
  }
}

TEST_CASE("If every server fails, requests are still sent") {
  ChooserFixture fixture(4);
  fixture.Serve(200, [](NodeId) {
    return AttemptResult{AttemptResultKind::kFailed, milliseconds(1), {}};
  });
  CHECK(fixture.chosen.size() == 4);
  CHECK(fixture.Choose() != NodeId{});
}

TEST_CASE("A request that is restricted to some regions") {
  auto servers = Servers(6);
  servers[0].region = "norte";
  servers[1].region = "norte";
  servers[2].region = "leste";
  ChooserFixture fixture(servers);
  const std::vector<std::string> norte = {"norte"};
  const auto choose = [&](std::span<const NodeId> excluded,
                          std::span<const std::string> regions) {
    const auto* server = fixture.chooser.ChooseAdmitted(
        {excluded, regions}, fixture.now, fixture.random);
    return server ? server->node : NodeId{};
  };

  SECTION("goes to no other region, even if the local region has capacity") {
    for (int i = 0; i < 100; ++i) {
      const NodeId node = choose({}, norte);
      CHECK((node == servers[0].node || node == servers[1].node));
      fixture.chooser.OnSent(node, fixture.now);
    }
  }
  SECTION("goes to no other region when it is moved") {
    const NodeId one[] = {servers[0].node};
    CHECK(choose(one, norte) == servers[1].node);
    const NodeId both[] = {servers[0].node, servers[1].node};
    CHECK(choose(both, norte) == NodeId{});
  }
  SECTION("goes to a suspected server if no other is left in its region") {
    servers[0].state = ServerState::kSuspected;
    servers[1].state = ServerState::kDraining;
    fixture.chooser.SetServers(servers, fixture.now);
    CHECK(choose({}, norte) == servers[0].node);
  }
  SECTION("goes to any of several regions") {
    const std::vector<std::string> two = {"norte", "leste"};
    fixture.chosen.clear();
    for (int i = 0; i < 30; ++i) {
      const NodeId node = choose({}, two);
      ++fixture.chosen[node];
      fixture.chooser.OnSent(node, fixture.now);
    }
    CHECK(fixture.chosen.size() == 3);
  }
  SECTION("has no server in a region without servers") {
    const std::vector<std::string> nowhere = {"sul-2"};
    CHECK(choose({}, nowhere) == NodeId{});
  }
}

TEST_CASE("Local servers are preferred while they have capacity") {
  auto servers = Servers(8);
  for (int i = 4; i < 8; ++i)
    servers[i].data_centre = "poa-b";
  // Returns the share of `calls`, all in flight, that local servers get.
  const auto local_share = [&](bool prefers_local_data_centre, int calls) {
    ChooserFixture fixture(servers);
    int local = 0;
    for (int i = 0; i < calls; ++i) {
      const auto* server = fixture.chooser.ChooseAdmitted(
          {.prefers_local_data_centre = prefers_local_data_centre}, fixture.now,
          fixture.random);
      local += server->data_centre == "poa-a" ? 1 : 0;
      fixture.chooser.OnSent(server->node, fixture.now);
    }
    return static_cast<double>(local) / calls;
  };

  SECTION("if the filter prefers them") {
    const double preferred = local_share(true, 24);
    const double usual = local_share(false, 24);
    CHECK(preferred > usual);
  }
  SECTION("but not once they are more loaded than the others") {
    CHECK(local_share(true, 90) < 0.6);
  }
}

TEST_CASE("A cold server gets no more requests than its limit") {
  auto servers = Servers(4);
  // At the usual latency of 10 ms, this rate keeps less than one slot in use.
  servers[0].rate_limit = 24;
  ChooserFixture fixture(servers);
  fixture.Serve(100, [](NodeId) { return Answered(); });
  std::vector<NodeId> busy;
  for (int i = 0; i < 24; ++i) {
    busy.push_back(fixture.Choose());
    fixture.chooser.OnSent(busy.back(), fixture.now);
  }
  CHECK(std::ranges::count(busy, servers[0].node) <= 2);
}

TEST_CASE("Server states from the membership") {
  auto servers = Servers(3);
  SECTION("a suspected server is used only as a last resort") {
    servers[0].state = ServerState::kSuspected;
    ChooserFixture fixture(servers);
    const NodeId others[] = {servers[1].node, servers[2].node};
    CHECK(fixture.Choose(others) == servers[0].node);
    fixture.Serve(50, [](NodeId) { return Answered(); });
    CHECK(fixture.chosen[servers[0].node] == 0);
  }
  SECTION("a draining one is never used") {
    for (auto& server : servers)
      server.state = ServerState::kDraining;
    ChooserFixture fixture(servers);
    CHECK(fixture.Choose() == NodeId{});
  }
  SECTION("a new one starts with a reduced share") {
    ChooserFixture fixture(servers);
    fixture.Serve(100, [](NodeId) { return Answered(); });
    auto more = Servers(4);
    fixture.chooser.SetServers(more, fixture.now);
    for (int i = 0; i < 4; ++i)
      fixture.chooser.OnSent(more[i].node, fixture.now);
    fixture.chosen.clear();
    for (int i = 0; i < 100; ++i)
      ++fixture.chosen[fixture.Choose()];
    CHECK(fixture.chosen[more[3].node] < 100 / 4);
  }
}

TEST_CASE("A server in the local data centre is preferred until it is loaded") {
  auto servers = Servers(3);
  servers[1].data_centre = servers[2].data_centre = "poa-b";
  ChooserFixture fixture(servers);
  CHECK(fixture.Choose() == servers[0].node);
  for (int i = 0; i < 12; ++i)
    fixture.chooser.OnSent(servers[0].node, fixture.now);
  CHECK(fixture.Choose() != servers[0].node);
}

// The properties hold for ServerChooser, and fail for the defective variants
// below.
template <typename Chooser>
bool NeverChoosesUnavailableServers(int count, int excluded, int draining) {
  auto servers = Servers(count);
  std::vector<NodeId> excluded_nodes;
  for (int i = 0; i < count; ++i) {
    if (i < draining)
      servers[i].state = ServerState::kDraining;
    else if (i < draining + excluded)
      excluded_nodes.push_back(servers[i].node);
  }
  Chooser chooser(LocalityIn("poa-a"));
  base::Random random(count);
  chooser.SetServers(servers, Instant{});
  const bool is_any_left = draining + excluded < count;
  for (int i = 0; i < 50; ++i) {
    const auto* server = chooser.Choose(excluded_nodes, Instant{}, random);
    if ((server != nullptr) != is_any_left)
      return false;
    if (server && (server->state == ServerState::kDraining ||
                   std::ranges::count(excluded_nodes, server->node) > 0)) {
      return false;
    }
  }
  return true;
}

// Returns whether each of `count` healthy servers is chosen at least once in
// 100 * `count` choices.
template <typename Chooser>
bool StarvesNoServer(int count, uint64_t seed) {
  Chooser chooser(LocalityIn("poa-a"));
  base::Random random(seed);
  chooser.SetServers(Servers(count), Instant{});
  std::map<NodeId, int> chosen;
  Instant now{};
  for (int i = 0; i < 100 * count; ++i, now += kUsual) {
    const NodeId node = chooser.Choose({}, now, random)->node;
    ++chosen[node];
    chooser.OnSent(node, now);
    chooser.OnEnded(node, Answered(), now + kUsual);
  }
  return chosen.size() == static_cast<size_t>(count);
}

class IgnoresExclusions : public ServerChooser {
 public:
  using ServerChooser::ServerChooser;
  const ServerCandidate* Choose(std::span<const NodeId> /*excluded*/,
                                Instant now,
                                base::Random& random) const {
    return ServerChooser::Choose({}, now, random);
  }
};

class AlwaysTheSame : public ServerChooser {
 public:
  using ServerChooser::ServerChooser;
  const ServerCandidate* Choose(std::span<const NodeId> excluded,
                                Instant now,
                                base::Random& /*random*/) const {
    base::Random same(1);
    return ServerChooser::Choose(excluded, now, same);
  }
};

TEST_CASE("Properties of the choice") {
  rc::prop("never an excluded or draining server, and one if any is left", [] {
    const int count = *rc::gen::inRange(1, 40);
    RC_ASSERT(NeverChoosesUnavailableServers<ServerChooser>(
        count, *rc::gen::inRange(0, count + 1),
        *rc::gen::inRange(0, count + 1)));
  });
  rc::prop("no healthy server is starved", [] {
    RC_ASSERT(StarvesNoServer<ServerChooser>(*rc::gen::inRange(1, 20),
                                             *rc::gen::arbitrary<uint64_t>()));
  });
  rc::prop("the number of requests in flight never falls below zero", [] {
    ServerChooser chooser(LocalityIn("poa-a"));
    chooser.SetServers(Servers(3), Instant{});
    int sent = 0;
    for (const bool is_sent : *rc::gen::arbitrary<std::vector<bool>>()) {
      sent = std::max(0, sent + (is_sent ? 1 : -1));
      if (is_sent)
        chooser.OnSent(kOutlier, Instant{});
      else
        chooser.OnEnded(kOutlier, Answered(), Instant{});
      RC_ASSERT(chooser.InFlight(kOutlier) == sent);
    }
  });
  SECTION("defective variants fail") {
    CHECK_FALSE(NeverChoosesUnavailableServers<IgnoresExclusions>(3, 2, 0));
    CHECK_FALSE(StarvesNoServer<AlwaysTheSame>(9, 1));
  }
}

}  // namespace
}  // namespace chestnutport::routing
