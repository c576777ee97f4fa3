// Hashes several texts as one.
#ifndef BASE_PART_HASH_H_
#define BASE_PART_HASH_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace chestnutport::base {

// Equal on all nodes. Each part is led by its size, so that parts cannot run
// into one another. No defence against somebody who wants two texts to collide.
uint64_t HashParts(std::initializer_list<std::string_view> parts);

}  // namespace chestnutport::base

#endif  // BASE_PART_HASH_H_
