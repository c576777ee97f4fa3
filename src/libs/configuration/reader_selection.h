// Which nodes read the store for the others.
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

// One may be lost at the same time as the other data centres.
inline constexpr size_t kReadersPerDataCentre = 2;
// A fleet of so many nodes, or fewer, has each of them read: it costs little,
// and any that reaches the store hears of a change at once. In a larger one,
// readers that have lost the store hand the duty on, which takes a second or
// two.
inline constexpr size_t kSmallFleetSize = 16;
// Nodes that try in place of readers that have lost the store, those included;
// at least one more in each data centre. Bounds what is asked of a store that
// serves nobody.
inline constexpr size_t kMaxReaderCandidates = 32;
// Readers whose watches are short. Two: one may be lost at the same time.
inline constexpr size_t kShortWatchReaders = 2;

// The members that are alive, in the order in which they take the duty; see
// duties::StoreDutyOrder(). Nodes whose views differ may choose other readers
// for a while; that is harmless. The members that it is made of must outlive
// it.
class ReaderSelection {
 public:
  explicit ReaderSelection(std::span<const membership::Member> members);

  // True if the fleet is small, or `self` is among the first
  // kReadersPerDataCentre of its data centre that have not lost the store. One
  // that has goes on trying, and the next one reads beside it.
  bool IsReader(const membership::Member& self) const;

  // True if `self` is among those that may take a reader's place. They read
  // once when an alert reader has lost the store: whoever reaches it brings
  // what was confirmed, and the others are passed over when readers are chosen.
  bool IsReaderCandidate(const membership::Member& self) const;

  // True if `self` is one of the fleet's alert readers: the first reader of its
  // data centre, which is one of the first kShortWatchReaders that have such.
  // If all readers lose their watches at once, these find out soon.
  bool IsShortWatchReader(const membership::Member& self) const;

  // Members that would be alert readers, had they not lost the store.
  size_t CountShortWatchReadersWithoutStore() const;
  // All that have lost it.
  size_t members_without_store() const { return members_without_store_; }
  // Whether each node reads.
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

  std::vector<AliveMember> alive_;
  // By data centre, of those that have not lost the store.
  absl::flat_hash_map<std::string_view, Order> first_readers_;
  size_t data_centres_ = 0;
  size_t members_without_store_ = 0;
};

}  // namespace chestnutport::configuration

#endif  // CONFIGURATION_READER_SELECTION_H_
