// The source of random numbers that is handed to decision code.
#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <random>

namespace chestnutport::base {

using Random = std::mt19937_64;

}  // namespace chestnutport::base

#endif  // BASE_RANDOM_H_
