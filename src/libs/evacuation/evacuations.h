// The data centres whose servers operators want to take no new work.
#ifndef EVACUATION_EVACUATIONS_H_
#define EVACUATION_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutport::evacuation {

struct Evacuations {
  // Bytes of the names together, with one for each: they travel in datagrams.
  static constexpr size_t kMaxNameBytes = 400;

  // The store's revision at which it was so; zero: nothing is known.
  uint64_t as_of = 0;
  std::vector<std::string> data_centres;  // In order, each once.

  bool Contains(std::string_view data_centre) const;
  // The bytes of all names, as kMaxNameBytes counts them.
  size_t NameBytes() const;

  bool operator==(const Evacuations&) const = default;
};

}  // namespace chestnutport::evacuation

#endif  // EVACUATION_EVACUATIONS_H_
