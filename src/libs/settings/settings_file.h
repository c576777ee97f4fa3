// Reads a node's settings from their file.
#ifndef SETTINGS_SETTINGS_FILE_H_
#define SETTINGS_SETTINGS_FILE_H_

#include <optional>
#include <string>

#include "settings/node_settings.h"
#include "settings/problem.h"

namespace chestnutport::settings {

// The file's text; nothing if it cannot be read.
std::optional<std::string> ReadSettingsText(const std::string& path);

// The same, read and checked. A file that cannot be read is a problem.
NodeSettings ReadNodeSettings(const std::string& path, Problems& problems);

}  // namespace chestnutport::settings

#endif  // SETTINGS_SETTINGS_FILE_H_
