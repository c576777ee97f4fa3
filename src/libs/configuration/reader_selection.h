// Selects the nodes that read the store on behalf of the others.
#ifndef CONFIGURATION_READER_SELECTION_H_
#define CONFIGURATION_READER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "membership/member.h"

namespace chestnutport::configuration {

// Readers in each data centre. Two, so that one may fail while the other data
// centres are unreachable.
inline constexpr size_t kReadersPerDataCentre = 2;
// In a fleet of at most this size every node is a reader: this costs little,
// and each node that reaches the store reads a change at once. In a larger
// fleet, readers that have lost the store are replaced, which takes a second or
// two.
inline constexpr size_t kSmallFleetSize = 16;
// Limit on the nodes in the fleet that may be readers, including those that
// have lost the store. Divided evenly between the data centres, but at least
// kReadersPerDataCentre + 1 in each. Bounds the calls to a store that is
// unavailable to all nodes.
inline constexpr size_t kMaxReaderCandidates = 32;
// Readers whose watches are short. Two, so that one may fail.
inline constexpr size_t kShortWatchReaders = 2;

// Which readers have short watches.
enum class ShortWatches {
  kTwoInFleet,           // kShortWatchReaders, in different data centres.
  kOneInEachDataCentre,  // For proofs that the configuration is current.
};

// Ranks the members that are alive by duties::StoreDutyOrder(). Nodes with
// different views of the fleet may temporarily select different readers, which
// is harmless. The members passed to the constructor must outlive the
// selection.
class ReaderSelection {
 public:
  explicit ReaderSelection(
      std::span<const membership::Member> members,
      ShortWatches short_watches = ShortWatches::kTwoInFleet);

  // Returns whether the fleet is small, or `self` is a candidate and fewer than
  // kReadersPerDataCentre members of its data centre that have not lost the
  // store rank before it. A reader that has lost the store keeps retrying while
  // the next member reads too.
  bool IsReader(const membership::Member& self) const;

  // Returns whether `self` may replace a reader. Candidates read once when a
  // short-watch reader has lost the store: those that reach it distribute what
  // was confirmed, and the others are skipped in the selection of readers.
  bool IsReaderCandidate(const membership::Member& self) const;

  // Returns whether `self` is one of the fleet's short-watch readers: the first
  // reader of its data centre, and with ShortWatches::kTwoInFleet also among
  // the first kShortWatchReaders of these in the fleet. If all readers lose
  // their connections at once, the short-watch readers detect it soon.
  bool IsShortWatchReader(const membership::Member& self) const;

  // Counts the members that would be short-watch readers if they had not lost
  // the store.
  size_t CountShortWatchReadersWithoutStore() const;
  // Members that are alive and have lost the store.
  size_t members_without_store() const { return members_without_store_; }
  // Whether every node is a reader.
  bool IsSmallFleet() const { return alive_.size() <= kSmallFleetSize; }

 private:
  using Order = std::pair<uint64_t, uint64_t>;
  struct AliveMember {
    std::string_view data_centre;
    Order order;
    bool can_read = true;
  };

  bool IsAmongShortWatchReaders(std::string_view data_centre,
                                const Order& order) const;

  ShortWatches short_watches_;
  std::vector<AliveMember> alive_;
  // The first member of each data centre that has not lost the store.
  absl::flat_hash_map<std::string_view, Order> first_readers_;
  size_t data_centres_ = 0;
  size_t members_without_store_ = 0;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_SELECTION_H_
