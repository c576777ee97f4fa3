#include "declarations/checker.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "declarations/tenants_document.h"
#include "settings/ini_document.h"

namespace chestnutport::declarations {
namespace {

using settings::IniDocument;
using settings::IniEntry;
using settings::Problem;
using settings::Problems;

// A file parsed into its values, and into entries with line numbers.
struct ParsedFile {
  ServiceDeclaration service;
  IniDocument document;
  std::string text;
};

Problem MakeProblem(const IniDocument& document,
                    std::string_view section,
                    std::string_view key,
                    std::string accepted) {
  const auto found =
      std::ranges::find_if(document.entries, [&](const IniEntry& entry) {
        return entry.section == section && entry.key == key;
      });
  const bool given = found != document.entries.end();
  return {document.file,
          given ? found->line : 0,
          std::string(section),
          std::string(key),
          given ? found->value : "(missing)",
          std::move(accepted)};
}

ParsedFile ReadFile(const DeclarationFile& file, Problems& problems) {
  ParsedFile parsed;
  parsed.service = ParseService(file.file, file.text, true, problems);
  Problems already_reported;
  parsed.document = IniDocument::Parse(file.file, file.text, already_reported);
  parsed.text = file.text;
  return parsed;
}

void CheckDeadlines(const ParsedFile& parsed, Problems& problems) {
  const ServiceDeclaration& service = parsed.service;
  if (service.deadline <= service.longest_deadline)
    return;
  problems.push_back(MakeProblem(
      parsed.document, "requests", "deadline",
      absl::StrCat("at most longest_deadline, which is ",
                   base::FormatDuration(service.longest_deadline))));
}

// The path of a rule may be narrower or wider than the match, but they must
// overlap.
void CheckRepeatable(const ParsedFile& parsed, Problems& problems) {
  const std::string& match = parsed.service.path_prefix;
  for (const RepeatableRule& rule : parsed.service.repeatable) {
    const bool overlaps = rule.path_prefix.starts_with(match) ||
                          match.starts_with(rule.path_prefix);
    if (overlaps)
      continue;
    problems.push_back(MakeProblem(
        parsed.document, "requests", "repeatable",
        absl::StrCat("paths inside the match, ", match, "; ", rule.path_prefix,
                     " never reaches this service")));
  }
}

// Reports services with the same host and path prefix.
void CheckMatches(const std::vector<ParsedFile>& all, Problems& problems) {
  std::map<std::pair<std::string, std::string>, const ParsedFile*> seen;
  for (const ParsedFile& parsed : all) {
    const ServiceDeclaration& service = parsed.service;
    const auto match = std::pair(service.host, service.path_prefix);
    if (match.first.empty() && match.second.empty())
      continue;  // Already reported.
    const auto [other, is_new] = seen.emplace(match, &parsed);
    if (is_new)
      continue;
    const char* key = service.path_prefix.empty() ? "host" : "path_prefix";
    problems.push_back(MakeProblem(
        parsed.document, "match", key,
        absl::StrCat("a match of its own; service ",
                     other->second->service.name, " in ",
                     other->second->document.file, " has the same")));
  }
}

void CollectServices(const std::vector<ParsedFile>& all,
                     DeclarationTexts& texts,
                     Problems& problems) {
  for (const ParsedFile& parsed : all) {
    const std::string& name = parsed.service.name;
    if (name.empty())
      continue;  // Already reported.
    if (!texts.emplace(name, parsed.text).second) {
      problems.push_back(MakeProblem(parsed.document, "service", "name",
                                     "a name that no other file declares"));
    }
  }
}

void CollectTenants(const DeclarationFile& file,
                    DeclarationTexts& texts,
                    Problems& problems) {
  ParseTenants(file.file, file.text, true, problems);
  texts.emplace(kTenantsDocument, file.text);
}

}  // namespace

DeclarationTexts CheckDeclarations(const std::vector<DeclarationFile>& files,
                                   Problems& problems) {
  std::vector<ParsedFile> all;
  DeclarationTexts texts;
  for (const DeclarationFile& file : files) {
    if (IsTenantsDocument(file.file)) {
      CollectTenants(file, texts, problems);
      continue;
    }
    all.push_back(ReadFile(file, problems));
    CheckDeadlines(all.back(), problems);
    CheckRepeatable(all.back(), problems);
  }
  CheckMatches(all, problems);
  CollectServices(all, texts, problems);
  std::ranges::stable_sort(problems, [](const Problem& a, const Problem& b) {
    return std::pair(a.file, a.line) < std::pair(b.file, b.line);
  });
  return texts;
}

}  // namespace chestnutport::declarations
