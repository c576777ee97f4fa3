// One thing that is wrong in a file of settings or declarations.
#ifndef SETTINGS_PROBLEM_H_
#define SETTINGS_PROBLEM_H_

#include <string>
#include <vector>

namespace chestnutport::settings {

struct Problem {
  std::string file;
  int line = 0;  // Zero: the file as a whole.
  std::string section;
  std::string key;
  std::string value;
  std::string accepted;  // What would be accepted instead.

  // "file:line: [section] key = value: accepted: ...", without the line if it
  // is zero.
  std::string ToString() const;
};

using Problems = std::vector<Problem>;

}  // namespace chestnutport::settings

#endif  // SETTINGS_PROBLEM_H_
