#include "configuration/change.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/text.h"
#include "declarations/tenants_document.h"
#include "settings/ini_document.h"

namespace chestnutport::configuration {
namespace {

using settings::IniDocument;
using settings::IniEntry;

const IniEntry* Find(const IniDocument& document, const IniEntry& wanted) {
  const auto found = std::ranges::find_if(document.entries, [&](const auto& e) {
    return e.section == wanted.section && e.key == wanted.key;
  });
  return found == document.entries.end() ? nullptr : &*found;
}

IniDocument Parse(const std::string& service, const std::string& text) {
  settings::Problems ignored;
  return IniDocument::Parse(service, text, ignored);
}

// A platform's document, which may contain tenants' keys, is no INI text.
bool IsIniText(std::string_view text) {
  return !base::Trim(text).starts_with('{');
}

// Returns as much of each digest as tells it from the others of a document.
std::string ShortenDigests(std::string_view digests) {
  constexpr size_t kShownDigits = 8;
  std::string shortened;
  for (const std::string_view part : base::Split(digests, ',')) {
    absl::StrAppend(&shortened, shortened.empty() ? "" : ", ",
                    base::AbslView(base::Trim(part).substr(0, kShownDigits)));
  }
  return shortened;
}

void HideDigests(std::vector<Change>& changes) {
  for (Change& change : changes) {
    if (!change.key.starts_with(declarations::kKeyDigests))
      continue;
    change.before = ShortenDigests(change.before);
    change.after = ShortenDigests(change.after);
  }
}

std::vector<Change> CompareDocuments(const std::string& service,
                                     const IniDocument& before,
                                     const IniDocument& after) {
  std::vector<Change> changes;
  for (const IniEntry& entry : before.entries) {
    const IniEntry* other = Find(after, entry);
    if (!other) {
      changes.push_back({ChangeKind::kRemoved, service, entry.section,
                         entry.key, entry.value, ""});
    } else if (other->value != entry.value) {
      changes.push_back({ChangeKind::kChanged, service, entry.section,
                         entry.key, entry.value, other->value});
    }
  }
  for (const IniEntry& entry : after.entries) {
    if (!Find(before, entry)) {
      changes.push_back({ChangeKind::kAdded, service, entry.section, entry.key,
                         "", entry.value});
    }
  }
  return changes;
}

// Compares the documents of `service` with the hashes `before` and `after`. An
// empty hash means that the service does not exist.
std::vector<Change> CompareHashes(const std::string& service,
                                  const std::string& before,
                                  const std::string& after,
                                  const Documents& documents) {
  const auto old_text = documents.find(before);
  const auto new_text = documents.find(after);
  const bool both_known =
      old_text != documents.end() && new_text != documents.end();
  if (both_known)
    return CompareTexts(service, &old_text->second, &new_text->second);
  Change change{.service = service};
  if (before.empty())
    change.kind = ChangeKind::kAdded;
  if (after.empty())
    change.kind = ChangeKind::kRemoved;
  return {change};
}

}  // namespace

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kChanged:
      return "changed";
    case ChangeKind::kRemoved:
      return "removed";
  }
  return "changed";
}

std::vector<Change> CompareTexts(const std::string& service,
                                 const std::string* before,
                                 const std::string* after) {
  if (!before && !after)
    return {};
  if (!before)
    return {{ChangeKind::kAdded, service, "", "", "", ""}};
  if (!after)
    return {{ChangeKind::kRemoved, service, "", "", "", ""}};
  if (!IsIniText(*before) || !IsIniText(*after)) {
    return *before == *after ? std::vector<Change>()
                             : std::vector<Change>{{.service = service}};
  }
  std::vector<Change> changes = CompareDocuments(
      service, Parse(service, *before), Parse(service, *after));
  if (service == declarations::kTenantsDocument)
    HideDigests(changes);
  return changes;
}

std::vector<ConfirmedChange> ChangesSince(const Head& head,
                                          const Documents& documents,
                                          uint64_t revision) {
  std::vector<ConfirmedChange> all;
  Manifest after = head.manifest;
  for (auto entry = head.history.rbegin(); entry != head.history.rend();
       ++entry) {
    if (entry->overruled || entry->revision <= revision)
      continue;
    for (const auto& [service, before] : entry->changed) {
      for (Change& change :
           CompareHashes(service, before, after[service], documents)) {
        all.push_back({std::move(change), entry->revision, entry->confirmed_by,
                       entry->confirmed_at});
      }
      after[service] = before;
    }
  }
  std::ranges::stable_sort(all, {}, &ConfirmedChange::revision);
  return all;
}

}  // namespace chestnutport::configuration
