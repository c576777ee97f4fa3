#include "evacuation/evacuations.h"

#include <algorithm>

namespace chestnutport::evacuation {

bool Evacuations::Contains(std::string_view data_centre) const {
  return std::ranges::binary_search(
      data_centres, data_centre, {},
      [](const std::string& name) { return std::string_view(name); });
}

size_t Evacuations::NameBytes() const {
  size_t bytes = 0;
  for (const std::string& name : data_centres)
    bytes += name.size() + 1;
  return bytes;
}

}  // namespace chestnutport::evacuation
