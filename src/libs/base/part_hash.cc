#include "base/part_hash.h"

#include <xxhash.h>

namespace chestnutport::base {

uint64_t HashParts(std::initializer_list<std::string_view> parts) {
  uint64_t hash = 0;
  for (const std::string_view part : parts) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  }
  return hash;
}

}  // namespace chestnutport::base
