#include "telemetry/log_line.h"

#include <algorithm>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/text.h"

namespace chestnutport::telemetry {
namespace {

using base::AbslView;

constexpr size_t kLongestValue = 200;

bool IsPlain(char c) {
  return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '"' &&
         c != '=' && c != '\\';
}

void AppendValue(std::string& line, std::string_view value) {
  const std::string_view shown = value.substr(0, kLongestValue);
  if (!shown.empty() && std::ranges::all_of(shown, IsPlain)) {
    line += shown;
    return;
  }
  line += '"';
  for (const char c : shown) {
    if (c == '"' || c == '\\')
      line += '\\';
    line += absl::ascii_iscntrl(static_cast<unsigned char>(c)) ? ' ' : c;
  }
  line += '"';
}

}  // namespace

std::string FormatLogLine(Event event,
                          std::initializer_list<Field> fields,
                          uint64_t suppressed) {
  const EventDescription& row = Describe(event);
  std::string line = absl::StrCat("level=", AbslView(ToString(row.level)),
                                  " event=", static_cast<int>(event),
                                  " name=", AbslView(row.name));
  for (const Field& field : fields) {
    absl::StrAppend(&line, " ", AbslView(field.name), "=");
    AppendValue(line, field.value);
  }
  if (suppressed > 0)
    absl::StrAppend(&line, " suppressed=", suppressed);
  return line;
}

}  // namespace chestnutport::telemetry
