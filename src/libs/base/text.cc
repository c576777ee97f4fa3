#include "base/text.h"

#include "absl/strings/match.h"

namespace chestnutport::base {

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n\v\f";
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(AbslView(a), AbslView(b));
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  size_t begin = 0;
  for (size_t end = text.find(separator); end != std::string_view::npos;
       end = text.find(separator, begin)) {
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  parts.push_back(text.substr(begin));
  return parts;
}

}  // namespace chestnutport::base
