#include "settings/settings_file.h"

#include <fstream>
#include <sstream>

namespace chestnutport::settings {

std::optional<std::string> ReadSettingsText(const std::string& path) {
  const std::ifstream file(path);
  if (!file)
    return std::nullopt;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

NodeSettings ReadNodeSettings(const std::string& path, Problems& problems) {
  const auto text = ReadSettingsText(path);
  if (!text) {
    problems.push_back({path, 0, "", "", "", "a file that can be read"});
    return {};
  }
  return ParseNodeSettings(path, *text, problems);
}

}  // namespace chestnutport::settings
