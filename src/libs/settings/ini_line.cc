#include "settings/ini_line.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/text.h"

namespace chestnutport::settings {
namespace {

constexpr char kAnyLine[] = "[section], key = value, or ; comment";
constexpr std::string_view kSeparators = "=:";
constexpr std::string_view kComments = ";#";

// The JSON library checks each text that it writes.
bool IsUtf8(std::string_view text) {
  try {
    return !nlohmann::json(std::string(text)).dump().empty();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

bool HasControlCharacter(std::string_view text) {
  return std::ranges::any_of(text, [](unsigned char c) {
    return (c < ' ' && c != '\t' && c != '\r') || c == 0x7f;
  });
}

bool IsComment(std::string_view line) {
  return line.empty() || kComments.find(line[0]) != std::string_view::npos;
}

std::string CheckSection(std::string_view line) {
  const size_t end = line.find(']');
  if (end == std::string_view::npos ||
      base::Trim(line.substr(1, end - 1)) == "")
    return "[section]";
  if (!IsComment(base::Trim(line.substr(end + 1))))
    return "nothing after [section] but a comment";
  return "";
}

}  // namespace

std::string WhatWouldBeAccepted(std::string_view line) {
  if (HasControlCharacter(line))
    return "a line without control characters";
  if (!IsUtf8(line))
    return "UTF-8 text";
  const std::string_view text = base::Trim(line);
  if (IsComment(text))
    return "";
  if (text[0] == '[')
    return CheckSection(text);
  if (line[0] == ' ' || line[0] == '\t')
    return "a line that begins at the margin; values have one line";
  const size_t separator = text.find_first_of(kSeparators);
  if (separator == std::string_view::npos || separator == 0 ||
      text[separator] != '=') {
    return kAnyLine;
  }
  return "";
}

std::string_view SectionName(std::string_view line) {
  const std::string_view text = base::Trim(line);
  if (text.empty() || text[0] != '[')
    return "";
  return text.substr(1, text.find(']') - 1);
}

}  // namespace chestnutport::settings
