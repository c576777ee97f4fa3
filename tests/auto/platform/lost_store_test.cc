// Guards against configuration changes that do not reach all nodes while only
// one node, whichever it is, can reach the store.
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "configuration/reader_selection.h"
#include "support/hosted_node.h"
#include "support/hosted_platform.h"
#include "support/relay.h"
#include "support/wait.h"

namespace chestnutport::test {
namespace {

// Returns a configuration with only a revision.
std::string ConfigurationText(uint64_t revision) {
  return absl::StrCat(R"({"version":)", revision,
                      R"(,"routes":{"columns":["name"],"rows":[]},)",
                      R"("services":{"columns":["name"],"rows":[]},)",
                      R"("limits":{}})");
}

// Nodes of one data centre, each connected to the store by its own relay.
class RelayedFleet {
 public:
  explicit RelayedFleet(size_t nodes)
      : folder_(std::filesystem::temp_directory_path() /
                absl::StrCat("lost-store-", getpid())) {
    std::filesystem::create_directories(folder_);
    platform_.Put("op/config", ConfigurationText(revision_));
    for (size_t i = 0; i < nodes; ++i) {
      relays_.push_back(std::make_unique<Relay>(platform_.store_address()));
      nodes_.push_back(std::make_unique<HostedNode>(
          absl::StrCat("node-", i), relays_.back()->address(), folder_));
    }
  }
  ~RelayedFleet() {
    nodes_.clear();
    std::filesystem::remove_all(folder_);
  }
  RelayedFleet(const RelayedFleet&) = delete;
  RelayedFleet& operator=(const RelayedFleet&) = delete;

  bool WaitForFullMembership() {
    return WaitUntil([this] {
      return std::ranges::all_of(nodes_, [this](const auto& node) {
        return StatusOf(*node)["members"].size() == nodes_.size();
      });
    });
  }

  // Connects the node at `index` to the store and disconnects all others.
  void ConnectOnly(size_t index) {
    relays_[index]->Cut(false);
    for (size_t i = 0; i < relays_.size(); ++i) {
      if (i != index)
        relays_[i]->Cut(true);
    }
  }

  // Returns the index of the first node that does not read the store.
  std::optional<size_t> FirstNonReader() const {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!StatusOf(*nodes_[i]).value("reads_store", true))
        return i;
    }
    return std::nullopt;
  }

  // Writes the next revision to the store as an operator. Returns whether all
  // nodes apply it.
  bool ChangeReachesAll() {
    platform_.Put("op/config", ConfigurationText(++revision_));
    return WaitUntil([this] {
      return std::ranges::all_of(nodes_, [this](const auto& node) {
        return StatusOf(*node).value("revision", 0U) == revision_;
      });
    });
  }

 private:
  static nlohmann::json StatusOf(const HostedNode& node) {
    return nlohmann::json::parse(node.Operate("GET", "/v1/status").body);
  }

  std::filesystem::path folder_;
  HostedPlatform platform_;
  uint64_t revision_ = 7;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<HostedNode>> nodes_;
};

TEST_CASE("a change reaches all nodes while one node can reach the store") {
  SECTION("in a small fleet, with any of its nodes") {
    constexpr size_t kNodes = 5;
    RelayedFleet fleet(kNodes);
    REQUIRE(fleet.WaitForFullMembership());
    REQUIRE(fleet.ChangeReachesAll());
    for (size_t i = 0; i < kNodes; ++i) {
      INFO("node " << i);
      fleet.ConnectOnly(i);
      REQUIRE(fleet.ChangeReachesAll());
    }
  }
  SECTION("in a larger fleet, with a node that did not read the store before") {
    RelayedFleet fleet(configuration::kSmallFleetSize + 4);
    REQUIRE(fleet.WaitForFullMembership());
    REQUIRE(fleet.ChangeReachesAll());
    const auto non_reader = fleet.FirstNonReader();
    REQUIRE(non_reader);
    fleet.ConnectOnly(*non_reader);
    CHECK(fleet.ChangeReachesAll());
  }
}

}  // namespace
}  // namespace chestnutport::test
