// What the store is asked while the nodes of a fleet look for each other and
// for the configuration, in virtual time. Guards against calls that grow with
// the fleet.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "configuration/first_reads.h"
#include "configuration/read_timing.h"
#include "configuration/reader_selection.h"
#include "duties/seed_search.h"

namespace chestnutport::duties {
namespace {

using base::Duration;
using base::Random;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Listing = SeedSearch::Listing;

// Until a node that has found a seed is a member, with a small share of a core.
constexpr milliseconds kJoinTime(150);
// Until all members have what one of them has read.
constexpr milliseconds kSpreadTime(100);
constexpr milliseconds kCallTime(4);
constexpr milliseconds kStartsWithin(300);
constexpr seconds kLongestWait(1);
// In a fleet of five data centres.
constexpr size_t kReaders = 5 * configuration::kReadersPerDataCentre;

struct StartOptions {
  size_t nodes = 0;
  milliseconds staleness{500};  // Of stale reads.
  // When the first seed is in the store, and when the configuration is, counted
  // from the first start.
  std::optional<milliseconds> seeds_since;
  milliseconds configured_since{-10000};
};

struct StartCost {
  int stale = 0;
  int current = 0;  // Counted by the store.
  int most_current_in_a_second = 0;
  Duration all_joined{};
  Duration all_configured{};
  // A stale read costs a tenth.
  double PerNode(size_t nodes) const {
    return (0.1 * stale + current) / static_cast<double>(nodes);
  }
};

// Each node runs the search for seeds and the first reads of the configuration
// side by side, as in the product.
class StartingFleet {
 public:
  StartingFleet(const StartOptions& options, uint64_t seed)
      : options_(options), random_(seed) {
    for (size_t i = 0; i < options.nodes; ++i)
      nodes_.push_back({SeedSearch(false, kLongestWait),
                        configuration::ReadTiming(kLongestWait),
                        configuration::FirstReads(true)});
  }

  StartCost Run(Duration time) {
    if (options_.seeds_since)
      seeds_since_ = Duration(*options_.seeds_since);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const Duration start = kStartsWithin * static_cast<int64_t>(i) /
                             static_cast<int64_t>(nodes_.size());
      At(start + nodes_[i].search.FirstDelay(random_), [this, i] { List(i); });
      At(start + nodes_[i].timing.FirstReadDelay(random_),
         [this, i] { ReadHead(i); });
    }
    while (!actions_.empty() && actions_.begin()->first <= time) {
      now_ = actions_.begin()->first;
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
    for (const auto& [second, count] : current_by_second_)
      cost_.most_current_in_a_second =
          std::max(cost_.most_current_in_a_second, count);
    REQUIRE(joined_ == nodes_.size());
    REQUIRE(configured_at_);
    cost_.all_configured = std::max(*configured_at_, cost_.all_joined);
    return cost_;
  }

 private:
  struct Node {
    SeedSearch search;
    configuration::ReadTiming timing;
    configuration::FirstReads first_reads;
    bool has_joined = false;
    bool has_listed = false;
  };

  void At(Duration when, std::function<void()> action) {
    actions_.emplace(when, std::move(action));
  }
  bool IsVisible(std::optional<Duration> since, bool is_stale) const {
    return since && now_ >= *since + (is_stale ? Duration(options_.staleness)
                                               : Duration::zero());
  }
  void CountCall(bool is_stale) {
    if (is_stale) {
      ++cost_.stale;
      return;
    }
    ++cost_.current;
    ++current_by_second_[std::chrono::floor<seconds>(now_).count()];
  }

  void List(size_t i) {
    Node& node = nodes_[i];
    if (node.has_joined)
      return;
    const bool is_stale =
        node.search.NextListing(true, random_) == Listing::kMayBeStale;
    CountCall(is_stale);
    const bool is_found = IsVisible(seeds_since_, is_stale);
    const bool is_first = !std::exchange(node.has_listed, true);
    if (is_stale)
      node.search.OnStaleListing();
    if (is_found) {
      At(now_ + kJoinTime, [this, i] { Join(i); });
    } else if (!is_stale) {
      // A lease, and the entry.
      CountCall(false);
      CountCall(false);
      At(now_ + 3 * kCallTime, [this, i] {
        seeds_since_ = seeds_since_.value_or(now_);
        Join(i);
      });
    }
    const Duration wait = is_first && !is_found
                              ? node.search.DelayAfterEmptyListing(random_)
                              : node.search.NextDelay(true, random_);
    At(now_ + wait, [this, i] { List(i); });
  }

  void ReadHead(size_t i) {
    Node& node = nodes_[i];
    const bool is_reader =
        nodes_.size() <= configuration::kSmallFleetSize || i < kReaders;
    if (configured_at_ || (node.has_joined && !is_reader))
      return;
    const bool is_stale =
        node.first_reads.NextMayBeStale(base::Instant(now_), random_);
    CountCall(is_stale);
    if (is_stale)
      node.first_reads.OnStaleResponse();
    if (IsVisible(Duration(options_.configured_since), is_stale)) {
      has_configured_node_ = true;
      if (joined_ > 0)
        configured_at_ = now_ + kSpreadTime;
    }
    At(now_ + node.timing.NextReadDelay(false, true, 1, random_),
       [this, i] { ReadHead(i); });
  }

  void Join(size_t i) {
    Node& node = nodes_[i];
    if (std::exchange(node.has_joined, true))
      return;
    ++joined_;
    node.first_reads.OnMembers(false, base::Instant(now_));
    cost_.all_joined = now_;
    if (has_configured_node_ && !configured_at_)
      configured_at_ = now_ + kSpreadTime;
  }

  StartOptions options_;
  Random random_;
  std::vector<Node> nodes_;
  std::multimap<Duration, std::function<void()>> actions_;
  Duration now_{};
  std::optional<Duration> seeds_since_;
  std::optional<Duration> configured_at_;
  bool has_configured_node_ = false;
  size_t joined_ = 0;
  StartCost cost_;
  std::map<int64_t, int> current_by_second_;
};

TEST_CASE("a fleet starts for the first time") {
  const size_t nodes = GENERATE(1, 3, 12, 30, 984, 3000);
  const uint64_t seed = GENERATE(range(1, 6));
  const milliseconds staleness(GENERATE(100, 800, 3000));
  INFO(nodes << " nodes, seed " << seed << ", stale by " << staleness.count()
             << " ms");
  StartingFleet fleet({.nodes = nodes,
                       .staleness = staleness,
                       .configured_since = milliseconds(2000)},
                      seed);
  const StartCost cost = fleet.Run(seconds(20));

  SECTION("all nodes know each other before callers come") {
    CHECK(cost.all_joined < seconds(8));
    CHECK(cost.all_configured < seconds(8));
  }
  SECTION("the calls of a large fleet leave most of the store to others") {
    if (nodes >= 984) {
      CHECK(cost.PerNode(nodes) < (staleness < seconds(1) ? 1 : 2));
      CHECK(cost.most_current_in_a_second < 2000 / 2);
    }
  }
}

TEST_CASE("all nodes of a fleet with seeds in the store start again") {
  const size_t nodes = GENERATE(12, 984, 3000);
  const uint64_t seed = GENERATE(range(1, 6));
  INFO(nodes << " nodes, seed " << seed);
  StartingFleet fleet({.nodes = nodes, .seeds_since = milliseconds(-10000)},
                      seed);
  const StartCost cost = fleet.Run(seconds(20));

  SECTION("a start costs the store two stale reads or little more") {
    CHECK(cost.PerNode(nodes) < 0.3);
    CHECK(cost.most_current_in_a_second <= 100);
  }
  SECTION("the configuration is in force within a second") {
    CHECK(cost.all_configured < seconds(1));
  }
}

}  // namespace
}  // namespace chestnutport::duties
