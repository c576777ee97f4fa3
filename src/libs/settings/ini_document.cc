#include "settings/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "base/text.h"
#include "settings/ini_line.h"

namespace chestnutport::settings {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

std::string_view WithoutLineEnd(std::string_view line) {
  while (line.ends_with('\n') || line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

// Hands the text to inih line by line, and so knows the line of each entry.
// Lines that it reports are handed on as empty ones.
struct LineReader {
  std::string_view rest;
  int line = 0;
  IniDocument* document = nullptr;
  Problems* problems = nullptr;
  std::set<std::string, std::less<>> sections;

  static char* Read(char* to, int size, void* self) {
    auto* reader = static_cast<LineReader*>(self);
    if (reader->rest.empty())
      return nullptr;
    ++reader->line;
    const size_t newline = reader->rest.find('\n');
    const size_t length =
        newline == std::string_view::npos ? reader->rest.size() : newline + 1;
    const std::string_view line =
        WithoutLineEnd(reader->rest.substr(0, length));
    reader->rest.remove_prefix(length);
    std::string accepted =
        line.size() >= static_cast<size_t>(size)
            ? absl::StrCat("a line of up to ", size - 1, " bytes")
            : reader->Check(line);
    if (!accepted.empty()) {
      reader->Report(line, accepted);
      to[0] = '\0';
      return to;
    }
    std::memcpy(to, line.data(), line.size());
    to[line.size()] = '\0';
    return to;
  }

  std::string Check(std::string_view line) {
    std::string accepted = WhatWouldBeAccepted(line);
    if (!accepted.empty())
      return accepted;
    const std::string_view section = SectionName(line);
    if (!section.empty() && !sections.emplace(section).second)
      return "each section once in a file";
    return "";
  }

  // Names a section or the key, but shows no value: it may be a secret.
  void Report(std::string_view line, const std::string& accepted) {
    const std::string section(SectionName(line));
    const bool has_key = section.empty() && line.find('=') != line.npos;
    problems->push_back(
        {document->file, this->line, section,
         has_key ? std::string(base::Trim(line.substr(0, line.find('='))))
                 : std::string(),
         has_key ? "(not read)" : "", accepted});
  }

  static int OnEntry(void* self,
                     const char* section,
                     const char* key,
                     const char* value) {
    auto* reader = static_cast<LineReader*>(self);
    auto& entries = reader->document->entries;
    const bool repeated = std::ranges::any_of(entries, [&](const auto& entry) {
      return entry.section == section && entry.key == key;
    });
    if (repeated) {
      reader->problems->push_back({reader->document->file, reader->line,
                                   section, key, value,
                                   "each key once in a section"});
      return 1;
    }
    entries.push_back({section, key, value, reader->line});
    return 1;
  }
};

}  // namespace

IniDocument IniDocument::Parse(std::string_view file,
                               std::string_view text,
                               Problems& problems) {
  IniDocument document;
  document.file = file;
  if (text.starts_with(kByteOrderMark))
    text.remove_prefix(kByteOrderMark.size());
  LineReader reader{text, 0, &document, &problems, {}};
  const int bad_line = ini_parse_stream(&LineReader::Read, &reader,
                                        &LineReader::OnEntry, &reader);
  if (bad_line != 0) {
    problems.push_back({document.file, bad_line, "", "", "",
                        "[section], key = value, or ; comment"});
  }
  return document;
}

std::vector<std::string> IniDocument::Sections() const {
  std::vector<std::string> sections;
  for (const IniEntry& entry : entries) {
    if (std::ranges::find(sections, entry.section) == sections.end())
      sections.push_back(entry.section);
  }
  return sections;
}

}  // namespace chestnutport::settings
