// Real nodes of which only one still reaches the store, whichever it is.
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

// A configuration without services, which says only its revision.
std::string ConfigurationText(uint64_t revision) {
  return absl::StrCat(R"({"version":)", revision,
                      R"(,"routes":{"columns":["name"],"rows":[]},)",
                      R"("services":{"columns":["name"],"rows":[]},)",
                      R"("limits":{}})");
}

// Nodes of one data centre, each with a way to the store of its own.
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

  // Cuts the others off, and opens the way of `index`.
  void ConnectOnly(size_t index) {
    relays_[index]->Cut(false);
    for (size_t i = 0; i < relays_.size(); ++i) {
      if (i != index)
        relays_[i]->Cut(true);
    }
  }

  // The first node that leaves reading the store to others.
  std::optional<size_t> FirstNonReader() const {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!StatusOf(*nodes_[i]).value("reads_store", true))
        return i;
    }
    return std::nullopt;
  }

  // An operator writes the next revision to the store. Whether all take it.
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

TEST_CASE("a change is in force everywhere while one node reaches the store") {
  SECTION("of a few nodes, whichever that is") {
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
  SECTION("of more nodes than read it, one that did not") {
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
