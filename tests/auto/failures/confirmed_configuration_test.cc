// Guarantee: every node applies a confirmed configuration within seconds and
// never reverts to an older one.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "support/small_fleet.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

std::map<std::string, std::string> Declaration(int queue) {
  return {{"dossie", absl::StrCat(kDossieDeclaration,
                                  "[servers]\nqueue = ", queue, "\n")}};
}

// Store calls after which each of the three reader nodes has read the store at
// least once, also after a failed read.
constexpr int kStoreCalls = 12;

// Returns the revisions that a node logged as in force, in log order.
std::vector<uint64_t> RevisionsInForce(const Vm& vm) {
  std::vector<uint64_t> revisions;
  for (const auto& text :
       vm.node->FieldValues("name=configuration-in-force", "revision")) {
    revisions.push_back(std::stoull(text));
  }
  return revisions;
}

bool NeverReverts(const std::vector<uint64_t>& history) {
  return std::ranges::adjacent_find(history, std::ranges::greater_equal()) ==
         history.end();
}

// Polls the revision of every node until it is stopped or destroyed. The log
// alone is not sufficient, as it suppresses repeated events.
class RevisionWatch {
 public:
  explicit RevisionWatch(const Fleet& fleet)
      : fleet_(fleet), thread_([this](const std::stop_token& stop) {
          while (!stop.stop_requested())
            PollAllNodes();
        }) {}

  // Stops polling. Returns the revisions that each node process reported, in
  // order and without successive duplicates.
  std::map<std::string, std::vector<uint64_t>> Stop() {
    thread_.request_stop();
    thread_.join();
    return seen_;
  }

 private:
  void PollAllNodes() {
    for (const auto& vm : fleet_.vms()) {
      const auto status = fleet_.Status(*vm);
      if (!status.is_object())
        continue;
      auto& history = seen_[status.value("node", "")];
      const auto revision = status.value("revision", uint64_t{0});
      if (history.empty() || history.back() != revision)
        history.push_back(revision);
    }
  }

  const Fleet& fleet_;
  std::map<std::string, std::vector<uint64_t>> seen_;
  std::jthread thread_;
};

TEST_CASE("a confirmed configuration is in force everywhere, never reverts") {
  SmallFleet small;
  Fleet& fleet = small.fleet;
  uint64_t last = small.revision;
  auto watch = std::make_unique<RevisionWatch>(fleet);
  const auto confirm = [&](const Vm& vm, int queue) {
    const uint64_t revision = fleet.Confirm(vm, Declaration(queue));
    REQUIRE(revision == last + 1);
    last = revision;
  };

  SECTION("when operators confirm in turn through different nodes") {
    for (int queue = 1; queue <= 12; ++queue) {
      const Vm& vm = *fleet.vms()[static_cast<size_t>(queue % 3)];
      confirm(vm, queue);
      REQUIRE(fleet.WaitAllReady(3, last));
    }
  }
  SECTION("when two operators race, one wins and the other is refused") {
    for (int round = 1; round <= 8; ++round) {
      uint64_t first = 0;
      uint64_t second = 0;
      std::thread other(
          [&] { second = fleet.Confirm(small.b, Declaration(100 + round)); });
      first = fleet.Confirm(small.a, Declaration(200 + round));
      other.join();
      // Zero if refused. The second operator may also have planned on top of
      // the revision that the first one confirmed; then both succeed.
      CHECK(first != second);
      last = std::max(first, second);
      REQUIRE(fleet.WaitAllReady(3, last));
    }
  }
  SECTION("when a node is frozen during a change and comes back") {
    small.c.node->Signal(SIGSTOP);
    confirm(small.a, 1);
    REQUIRE(fleet.WaitReady(small.b, 3, last));
    small.c.node->Signal(SIGCONT);
  }
  SECTION("when the store answers slowly") {
    fleet.CommandStore(R"({"delay_ms": 1000})");
    confirm(small.a, 1);
  }
  SECTION("when the store goes down after a change and comes back") {
    confirm(small.a, 1);
    fleet.CommandStore(R"({"mode": "down"})");
    REQUIRE(fleet.WaitForStoreCalls(kStoreCalls));
    fleet.CommandStore(R"({"mode": "up"})");
    REQUIRE(fleet.WaitAllReady(3, last));
    confirm(small.b, 2);
  }
  SECTION("when connections to the store go silent") {
    fleet.store_relay().SilenceOpenConnections();
    REQUIRE(WaitUntil([&] {
      const uint64_t revision = fleet.Confirm(small.a, Declaration(1));
      last = std::max(last, revision);
      return revision != 0;
    }));
  }
  SECTION("when the answer to the confirmation is lost") {
    fleet.CommandStore(R"({"mode": "lose-answers"})");
    const uint64_t confirmed = fleet.Confirm(small.a, Declaration(1));
    CHECK((confirmed == 0 || confirmed == last + 1));
    fleet.CommandStore(R"({"mode": "up"})");
    ++last;  // The store committed it before the answer was lost.
    REQUIRE(fleet.WaitAllReady(3, last));
    SECTION("and the next change goes on from it") {
      confirm(small.b, 2);
    }
  }
  SECTION("when the store is restored from an older copy") {
    fleet.CommandStore(R"({"copy": "save"})");
    confirm(small.a, 1);
    REQUIRE(fleet.WaitAllReady(3, last));
    fleet.CommandStore(R"({"copy": "restore"})");
    REQUIRE(fleet.WaitForStoreCalls(kStoreCalls));
  }
  SECTION("when a node is replaced") {
    confirm(small.a, 1);
    REQUIRE(fleet.WaitAllReady(3, last));
    for (const auto& [node, history] : watch->Stop())
      CHECK(NeverReverts(history));
    watch.reset();
    fleet.StartNode(small.c);
    fleet.StartServer(small.c);
    watch = std::make_unique<RevisionWatch>(fleet);
  }
  CHECK(fleet.WaitAllReady(3, last));
  for (const auto& vm : fleet.vms()) {
    INFO(vm->name);
    CHECK(fleet.Status(*vm).value("revision", uint64_t{0}) == last);
    CHECK(NeverReverts(RevisionsInForce(*vm)));
  }
  for (const auto& [node, history] : watch->Stop()) {
    INFO(node);
    CHECK(NeverReverts(history));
    CHECK(history.back() <= last);
  }
}

TEST_CASE("the check of the history sees a revert") {
  CHECK(NeverReverts({1, 2, 5}));
  CHECK_FALSE(NeverReverts({1, 2, 1}));
  CHECK_FALSE(NeverReverts({1, 2, 2}));
}

}  // namespace
}  // namespace chestnutport::test
