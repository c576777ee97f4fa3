// An INI text as a list of entries that know their lines, read by inih.
#ifndef SETTINGS_INI_DOCUMENT_H_
#define SETTINGS_INI_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "settings/problem.h"

namespace chestnutport::settings {

struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

struct IniDocument {
  std::string file;
  std::vector<IniEntry> entries;

  // Lines that cannot be read and keys given twice go to `problems`.
  static IniDocument Parse(std::string_view file,
                           std::string_view text,
                           Problems& problems);

  // The sections in the order of their first entry, each once.
  std::vector<std::string> Sections() const;
};

}  // namespace chestnutport::settings

#endif  // SETTINGS_INI_DOCUMENT_H_
