// Small helpers over std::string_view. The platform's Abseil has a string view
// of its own; AbslView() is the bridge to it.
#ifndef BASE_TEXT_H_
#define BASE_TEXT_H_

#include <charconv>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "absl/strings/string_view.h"

namespace chestnutport::base {

inline absl::string_view AbslView(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

// Empties `text` and frees its memory, which an assignment keeps.
inline void FreeMemory(std::string& text) {
  std::string().swap(text);
}

// Frees the memory of an empty buffer that is kept for long, if it is large.
inline void FreeIfLarge(std::string& buffer) {
  constexpr size_t kKeptBytes = 1024;
  if (buffer.capacity() > kKeptBytes)
    FreeMemory(buffer);
}

// Reads the whole of `text` as a number; false if it is none or out of range.
template <typename T>
bool ParseNumber(std::string_view text, T* number, int radix = 10) {
  const char* end = text.data() + text.size();
  std::from_chars_result result;
  if constexpr (std::is_floating_point_v<T>)
    result = std::from_chars(text.data(), end, *number);
  else
    result = std::from_chars(text.data(), end, *number, radix);
  return result.ec == std::errc() && result.ptr == end;
}

// Without the white space at both ends.
std::string_view Trim(std::string_view text);

// Compares ASCII letters without case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// The parts between the separators; empty parts are kept.
std::vector<std::string_view> Split(std::string_view text, char separator);

}  // namespace chestnutport::base

#endif  // BASE_TEXT_H_
