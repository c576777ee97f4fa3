// An input of a fuzz target as the pieces in which its bytes arrive.
#ifndef FUZZ_PIECES_H_
#define FUZZ_PIECES_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutport::test {

// The first byte says how large the pieces are; all others are the message.
inline std::vector<std::string> SplitInput(const uint8_t* data, size_t size) {
  constexpr size_t kMaxPieces = 8;
  std::vector<std::string> pieces;
  if (size < 2)
    return pieces;
  std::string_view left(reinterpret_cast<const char*>(data) + 1, size - 1);
  const size_t piece =
      std::max<size_t>(data[0] + size_t{1}, left.size() / kMaxPieces + 1);
  while (!left.empty()) {
    pieces.emplace_back(left.substr(0, piece));
    left.remove_prefix(std::min(piece, left.size()));
  }
  return pieces;
}

}  // namespace chestnutport::test

#endif  // FUZZ_PIECES_H_
