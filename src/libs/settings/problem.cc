#include "settings/problem.h"

#include "absl/strings/str_cat.h"

namespace chestnutport::settings {

std::string Problem::ToString() const {
  std::string text = absl::StrCat(file, ":");
  if (line > 0)
    absl::StrAppend(&text, line, ":");
  if (!section.empty())
    absl::StrAppend(&text, " [", section, "]");
  if (!key.empty())
    absl::StrAppend(&text, " ", key, " = ", value);
  absl::StrAppend(&text, ": accepted: ", accepted);
  return text;
}

}  // namespace chestnutport::settings
