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

// A chooser, its clock, and how often each server was chosen.
struct Story {
  explicit Story(int servers) : Story(Servers(servers)) {}
  explicit Story(std::vector<ServerCandidate> servers)
      : candidates(std::move(servers)) {
    chooser.SetServers(candidates, now);
  }

  NodeId Choose(std::span<const NodeId> excluded = {}) {
    const auto* server = chooser.Choose(excluded, now, random);
    return server ? server->node : NodeId{};
  }

  // One call after another, each answered as `result_of` says.
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

constexpr NodeId kOdd{3};  // The server that a story is about.

AttemptResult Answered(base::Duration latency = kUsual) {
  return {AttemptVerdict::kAnswered, latency, {}};
}

TEST_CASE("Servers that are no good get little work") {
  Story story(6);
  story.Serve(200, [](NodeId) { return Answered(); });
  CHECK(story.chosen[kOdd] > 10);

  SECTION("a straggler") {
    const auto slow = [](NodeId node) {
      return Answered(node == kOdd ? kUsual * 5 : kUsual);
    };
    story.Serve(600, slow);
    CHECK(story.chosen[kOdd] < 600 / 6 / 4);
    SECTION("and it gets its share again once it is well") {
      story.now += std::chrono::seconds(10);
      story.Serve(600, [](NodeId) { return Answered(); });
      CHECK(story.chosen[kOdd] > 600 / 6 / 2);
    }
  }
  SECTION("one that fails at once") {
    story.Serve(600, [](NodeId node) {
      return node == kOdd
                 ? AttemptResult{AttemptVerdict::kFailed, milliseconds(1), {}}
                 : Answered();
    });
    CHECK(story.chosen[kOdd] < 600 / 6 / 4);
  }
  SECTION("one that is slow and reports to be idle") {
    story.Serve(600, [](NodeId node) {
      AttemptResult result = Answered(node == kOdd ? kUsual * 3 : kUsual);
      result.load = wire::LoadReport{node == kOdd ? 0 : 6, 12, 0, {}};
      return result;
    });
    CHECK(story.chosen[kOdd] < 600 / 6);
  }
  SECTION("one that refuses though it has room") {
    story.Serve(300, [](NodeId node) {
      AttemptResult result = Answered();
      if (node == kOdd) {
        result = {AttemptVerdict::kRefused, milliseconds(1),
                  wire::LoadReport{2, 12, 0, {}}};
      }
      return result;
    });
    CHECK(story.chosen[kOdd] < 300 / 6 / 2);
  }
  SECTION("one that is silent") {
    story.chooser.OnSent(kOdd, story.now);
    story.now += kUsual * 10;
    story.Serve(100, [](NodeId) { return Answered(); });
    CHECK(story.chosen[kOdd] < 100 / 6 / 2);
  }
  SECTION("one with much in flight from here") {
    for (int i = 0; i < 12; ++i)
      story.chooser.OnSent(kOdd, story.now);
    story.chosen.clear();
    for (int i = 0; i < 50; ++i)
      ++story.chosen[story.Choose()];
    CHECK(story.chosen[kOdd] == 0);
  }
}

TEST_CASE("If every server fails, work is still sent") {
  Story story(4);
  story.Serve(200, [](NodeId) {
    return AttemptResult{AttemptVerdict::kFailed, milliseconds(1), {}};
  });
  CHECK(story.chosen.size() == 4);
  CHECK(story.Choose() != NodeId{});
}

TEST_CASE("A request that may run in some regions only") {
  auto servers = Servers(6);
  servers[0].region = "norte";
  servers[1].region = "norte";
  servers[2].region = "leste";
  Story story(servers);
  const std::vector<std::string> norte = {"norte"};
  const auto choose = [&](std::span<const NodeId> excluded,
                          std::span<const std::string> regions) {
    const auto* server = story.chooser.ChooseAdmitted({excluded, regions},
                                                      story.now, story.random);
    return server ? server->node : NodeId{};
  };

  SECTION("goes to no server elsewhere, though the own region has room") {
    for (int i = 0; i < 100; ++i) {
      const NodeId node = choose({}, norte);
      CHECK((node == servers[0].node || node == servers[1].node));
      story.chooser.OnSent(node, story.now);
    }
  }
  SECTION("nor when it moves") {
    const NodeId one[] = {servers[0].node};
    CHECK(choose(one, norte) == servers[1].node);
    const NodeId both[] = {servers[0].node, servers[1].node};
    CHECK(choose(both, norte) == NodeId{});
  }
  SECTION("nor if only a suspected server is left there") {
    servers[0].state = ServerState::kSuspected;
    servers[1].state = ServerState::kDraining;
    story.chooser.SetServers(servers, story.now);
    CHECK(choose({}, norte) == servers[0].node);
  }
  SECTION("goes to any of several regions") {
    const std::vector<std::string> two = {"norte", "leste"};
    story.chosen.clear();
    for (int i = 0; i < 30; ++i) {
      const NodeId node = choose({}, two);
      ++story.chosen[node];
      story.chooser.OnSent(node, story.now);
    }
    CHECK(story.chosen.size() == 3);
  }
  SECTION("has no server where none is") {
    const std::vector<std::string> nowhere = {"sul-2"};
    CHECK(choose({}, nowhere) == NodeId{});
  }
}

TEST_CASE("Bytes between data centres are saved while near servers have room") {
  auto servers = Servers(8);
  for (int i = 4; i < 8; ++i)
    servers[i].data_centre = "poa-b";
  // Of `calls` that all stay in flight, those that near servers get.
  const auto near_share = [&](bool prefers_local_data_centre, int calls) {
    Story story(servers);
    int near = 0;
    for (int i = 0; i < calls; ++i) {
      const auto* server = story.chooser.ChooseAdmitted(
          {.prefers_local_data_centre = prefers_local_data_centre}, story.now,
          story.random);
      near += server->data_centre == "poa-a" ? 1 : 0;
      story.chooser.OnSent(server->node, story.now);
    }
    return static_cast<double>(near) / calls;
  };

  SECTION("by a caller's request") {
    const double preferred = near_share(true, 24);
    const double usual = near_share(false, 24);
    CHECK(preferred > usual);
  }
  SECTION("but not once they are fuller than the others") {
    CHECK(near_share(true, 90) < 0.6);
  }
}

TEST_CASE("A cold server gets its part") {
  auto servers = Servers(4);
  // Half of what a warm one serves at the usual latency, and less.
  servers[0].cold_rate = 24;
  Story story(servers);
  story.Serve(100, [](NodeId) { return Answered(); });
  std::vector<NodeId> busy;
  for (int i = 0; i < 24; ++i) {
    busy.push_back(story.Choose());
    story.chooser.OnSent(busy.back(), story.now);
  }
  CHECK(std::ranges::count(busy, servers[0].node) <= 2);
}

TEST_CASE("States that membership tells") {
  auto servers = Servers(3);
  SECTION("a suspected server is used last") {
    servers[0].state = ServerState::kSuspected;
    Story story(servers);
    const NodeId others[] = {servers[1].node, servers[2].node};
    CHECK(story.Choose(others) == servers[0].node);
    story.Serve(50, [](NodeId) { return Answered(); });
    CHECK(story.chosen[servers[0].node] == 0);
  }
  SECTION("a draining one is never used") {
    for (auto& server : servers)
      server.state = ServerState::kDraining;
    Story story(servers);
    CHECK(story.Choose() == NodeId{});
  }
  SECTION("a new one starts gently") {
    Story story(servers);
    story.Serve(100, [](NodeId) { return Answered(); });
    auto more = Servers(4);
    story.chooser.SetServers(more, story.now);
    for (int i = 0; i < 4; ++i)
      story.chooser.OnSent(more[i].node, story.now);
    story.chosen.clear();
    for (int i = 0; i < 100; ++i)
      ++story.chosen[story.Choose()];
    CHECK(story.chosen[more[3].node] < 100 / 4);
  }
}

TEST_CASE("A near server is preferred as far as its load allows") {
  auto servers = Servers(3);
  servers[1].data_centre = servers[2].data_centre = "poa-b";
  Story story(servers);
  CHECK(story.Choose() == servers[0].node);
  for (int i = 0; i < 12; ++i)
    story.chooser.OnSent(servers[0].node, story.now);
  CHECK(story.Choose() != servers[0].node);
}

// The properties hold for the chooser, and fail for the broken ones below.
template <typename Chooser>
bool NeverChoosesBarredServers(int count, int excluded, int draining) {
  auto servers = Servers(count);
  std::vector<NodeId> barred;
  for (int i = 0; i < count; ++i) {
    if (i < draining)
      servers[i].state = ServerState::kDraining;
    else if (i < draining + excluded)
      barred.push_back(servers[i].node);
  }
  Chooser chooser(LocalityIn("poa-a"));
  base::Random random(count);
  chooser.SetServers(servers, Instant{});
  const bool is_any_left = draining + excluded < count;
  for (int i = 0; i < 50; ++i) {
    const auto* server = chooser.Choose(barred, Instant{}, random);
    if ((server != nullptr) != is_any_left)
      return false;
    if (server && (server->state == ServerState::kDraining ||
                   std::ranges::count(barred, server->node) > 0)) {
      return false;
    }
  }
  return true;
}

// Each of `count` healthy servers is chosen within 100 choices a server.
template <typename Chooser>
bool StarvesNone(int count, uint64_t seed) {
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
    RC_ASSERT(NeverChoosesBarredServers<ServerChooser>(
        count, *rc::gen::inRange(0, count + 1),
        *rc::gen::inRange(0, count + 1)));
  });
  rc::prop("no healthy server is starved", [] {
    RC_ASSERT(StarvesNone<ServerChooser>(*rc::gen::inRange(1, 20),
                                         *rc::gen::arbitrary<uint64_t>()));
  });
  rc::prop("what is in flight never falls below zero", [] {
    ServerChooser chooser(LocalityIn("poa-a"));
    chooser.SetServers(Servers(3), Instant{});
    int sent = 0;
    for (const bool is_sent : *rc::gen::arbitrary<std::vector<bool>>()) {
      sent = std::max(0, sent + (is_sent ? 1 : -1));
      if (is_sent)
        chooser.OnSent(kOdd, Instant{});
      else
        chooser.OnEnded(kOdd, Answered(), Instant{});
      RC_ASSERT(chooser.InFlight(kOdd) == sent);
    }
  });
  SECTION("broken variants fail") {
    CHECK_FALSE(NeverChoosesBarredServers<IgnoresExclusions>(3, 2, 0));
    CHECK_FALSE(StarvesNone<AlwaysTheSame>(9, 1));
  }
}

}  // namespace
}  // namespace chestnutport::routing
