#include "absl/strings/str_cat.h"
#include "base/text.h"
#include "settings/node_settings.h"

namespace chestnutport::settings {
namespace {

std::string Default(const SettingDescription& setting) {
  return setting.default_text.empty() ? "must be given"
                                      : std::string(setting.default_text);
}

}  // namespace

std::string SettingsTable() {
  std::string text =
      "| section | key | default | accepted | meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const SettingDescription& setting : DescribeNodeSettings()) {
    absl::StrAppend(&text, "| ", base::AbslView(setting.section), " | ",
                    base::AbslView(setting.key), " | ", Default(setting), " | ",
                    base::AbslView(setting.range), " | ",
                    base::AbslView(setting.help), " |\n");
  }
  return text;
}

std::string SettingsHelp() {
  std::string text;
  std::string_view section;
  for (const SettingDescription& setting : DescribeNodeSettings()) {
    if (setting.section != section) {
      section = setting.section;
      absl::StrAppend(&text, "  [", base::AbslView(section), "]\n");
    }
    absl::StrAppend(&text, "    ", base::AbslView(setting.key), ": ",
                    base::AbslView(setting.help),
                    " Accepted: ", base::AbslView(setting.range),
                    ". Default: ", Default(setting), ".\n");
  }
  absl::StrAppend(&text, "  [operators]\n    NAME = TOKEN, one line each.\n");
  return text;
}

}  // namespace chestnutport::settings
