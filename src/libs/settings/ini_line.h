// What inih lets through in a line of an INI text and this product does not.
#ifndef SETTINGS_INI_LINE_H_
#define SETTINGS_INI_LINE_H_

#include <string>
#include <string_view>

namespace chestnutport::settings {

// What would be accepted in place of `line`; empty if the line may be read.
// `line` comes without its line end.
std::string WhatWouldBeAccepted(std::string_view line);

// The name in a line such as "[name]"; empty for any other line.
std::string_view SectionName(std::string_view line);

}  // namespace chestnutport::settings

#endif  // SETTINGS_INI_LINE_H_
