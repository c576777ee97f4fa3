// The data centres that operators have evacuated: their servers receive no new
// requests.
#ifndef EVACUATION_EVACUATIONS_H_
#define EVACUATION_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutport::evacuation {

struct Evacuations {
  // Limit of NameBytes(), because the names are sent in gossip datagrams.
  static constexpr size_t kMaxNameBytes = 400;

  // The store's revision at which this was read; zero if nothing is known.
  uint64_t as_of = 0;
  std::vector<std::string> data_centres;  // Sorted, without duplicates.

  bool Contains(std::string_view data_centre) const;
  // Returns the total size of the names, with one more byte for each.
  size_t NameBytes() const;

  bool operator==(const Evacuations&) const = default;
};

}  // namespace chestnutport::evacuation

#endif  // EVACUATION_EVACUATIONS_H_
