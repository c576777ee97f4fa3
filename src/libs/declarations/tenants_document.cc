#include "declarations/tenants_document.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "base/text.h"
#include "settings/ini_document.h"

namespace chestnutport::declarations {
namespace {

using settings::IniDocument;
using settings::IniEntry;
using settings::Problem;
using settings::Problems;

// The INI reader cuts the names of sections at 49 bytes, so that a name which
// is too long still exceeds this limit.
constexpr size_t kMaxNameLength = 40;
constexpr int kMaxUrgency = 1000;
// Requests and requests per second; more than any fleet can process.
constexpr double kMaxRate = 1000000;
constexpr char kNotShown[] = "(not shown)";
constexpr char kUrgency[] = "urgency";
constexpr char kRate[] = "rate";
constexpr char kBurst[] = "burst";
constexpr std::string_view kDigestsAccepted =
    "SHA-256 digests in hexadecimal, separated by commas, each in one place; "
    "more of them as key_digests.2 and so on";
constexpr std::string_view kUrgencyAccepted = "0 to 1000";
constexpr std::string_view kRateAccepted = "0 to 1000000";
constexpr char kSectionAccepted[] =
    "[tenant NAME]; the name 1 to 40 of letters, digits, -, _ and .";
constexpr char kKeyAccepted[] = "key_digests, urgency, rate or burst";

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsTenantName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, IsNameCharacter);
}

bool IsDigestsKey(std::string_view key) {
  return key == kKeyDigests ||
         key.starts_with(absl::StrCat(base::AbslView(kKeyDigests), "."));
}

// Any other section may be a key that was pasted there.
std::string ShownSection(const std::string& section) {
  return section.empty() || section.starts_with(kTenantSection) ? section
                                                                : kNotShown;
}

bool ReadNumber(std::string_view text, double* number) {
  return base::ParseNumber(text, number) && *number >= 0 && *number <= kMaxRate;
}

bool ReadUrgency(std::string_view text, std::optional<int>& urgency) {
  int number = 0;
  if (!base::ParseNumber(text, &number) || number < 0 || number > kMaxUrgency)
    return false;
  urgency = number;
  return true;
}

// Reads the sections of one document.
class TenantsReader {
 public:
  TenantsReader(const IniDocument& document, bool strict, Problems& problems)
      : document_(document), strict_(strict), problems_(problems) {}

  std::vector<TenantAccount> Read() {
    for (const IniEntry& entry : document_.entries)
      ReadEntry(entry);
    if (strict_)
      CheckWhole();
    return std::move(accounts_);
  }

 private:
  void ReadEntry(const IniEntry& entry) {
    const std::string_view section = entry.section;
    const std::string_view name =
        section.starts_with(kTenantSection)
            ? base::Trim(section.substr(kTenantSection.size()))
            : std::string_view();
    if (!IsTenantName(name)) {
      if (strict_)
        Report(entry, false, kSectionAccepted);
      return;
    }
    ReadValue(entry, Account(name));
  }

  TenantAccount& Account(std::string_view name) {
    const auto found = std::ranges::find(accounts_, name, &TenantAccount::name);
    if (found != accounts_.end())
      return *found;
    accounts_.push_back({.name = std::string(name)});
    return accounts_.back();
  }

  void ReadValue(const IniEntry& entry, TenantAccount& account) {
    if (IsDigestsKey(entry.key)) {
      ReadDigests(entry, account);
    } else if (entry.key == kUrgency) {
      if (!ReadUrgency(entry.value, account.urgency))
        Report(entry, true, kUrgencyAccepted);
    } else if (entry.key == kRate || entry.key == kBurst) {
      double& number = entry.key == kRate ? account.rate : account.burst;
      if (!ReadNumber(entry.value, &number)) {
        number = 0;
        Report(entry, true, kRateAccepted);
      }
    } else if (strict_) {
      Report(entry, false, kKeyAccepted);
    }
  }

  void ReadDigests(const IniEntry& entry, TenantAccount& account) {
    if (base::Trim(entry.value).empty())
      return;
    for (const std::string_view part : base::Split(entry.value, ',')) {
      const auto digest = KeyDigest::FromHex(base::Trim(part));
      if (!digest) {
        Report(entry, false, kDigestsAccepted);
        return;
      }
      const auto [other, is_new] = holders_.emplace(*digest, account.name);
      if (!is_new) {
        Report(entry, false,
               absl::StrCat("keys of its own; tenant ", other->second,
                            " has one of these"));
        return;
      }
      account.keys.push_back(*digest);
    }
  }

  void CheckWhole() {
    if (accounts_.empty()) {
      problems_.push_back({document_.file, 0, "tenant NAME", "", "",
                           "at least one tenant, with at least one entry"});
    }
    for (const IniEntry& entry : document_.entries) {
      if (entry.key != kRate)
        continue;
      for (const TenantAccount& account : accounts_) {
        const bool is_its_own =
            entry.section ==
            absl::StrCat(base::AbslView(kTenantSection), account.name);
        if (is_its_own && account.rate > 0 && account.burst < 1)
          Report(entry, true, "with a burst of at least 1");
      }
    }
  }

  // `shows` if the text of the entry cannot be a key.
  void Report(const IniEntry& entry, bool shows, std::string_view accepted) {
    const bool shows_name = shows || IsDigestsKey(entry.key);
    problems_.push_back(
        {document_.file, entry.line, ShownSection(entry.section),
         shows_name ? entry.key : kNotShown, shows ? entry.value : kNotShown,
         std::string(accepted)});
  }

  const IniDocument& document_;
  bool strict_;
  Problems& problems_;
  std::vector<TenantAccount> accounts_;
  absl::flat_hash_map<KeyDigest, std::string> holders_;
};

}  // namespace

bool IsTenantsDocument(std::string_view file) {
  const size_t slash = file.rfind('/');
  if (slash != std::string_view::npos)
    file.remove_prefix(slash + 1);
  return file == kTenantsDocument ||
         file == absl::StrCat(base::AbslView(kTenantsDocument), ".ini");
}

const std::vector<DeclarationKey>& DescribeTenantKeys() {
  static const std::vector<DeclarationKey> keys = {
      {"tenant NAME", kKeyDigests, kDigestsAccepted, "none",
       "The tenant's keys."},
      {"tenant NAME", kUrgency, kUrgencyAccepted, "that of the request",
       "Urgency of the tenant's requests; the lower number goes first."},
      {"tenant NAME", kRate, kRateAccepted, "0",
       "Requests a second, over all nodes; 0: not limited."},
      {"tenant NAME", kBurst, kRateAccepted, "0",
       "Requests above the rate; at least 1 if there is a rate."},
  };
  return keys;
}

std::vector<TenantAccount> ParseTenants(std::string_view file,
                                        std::string_view text,
                                        bool strict,
                                        Problems& problems) {
  Problems unreadable;
  const IniDocument document = IniDocument::Parse(file, text, unreadable);
  for (Problem& problem : unreadable) {
    problem.section = ShownSection(problem.section);
    if (!problem.key.empty())
      problem.key = kNotShown;
    if (!problem.value.empty())
      problem.value = kNotShown;
    problems.push_back(std::move(problem));
  }
  return TenantsReader(document, strict, problems).Read();
}

}  // namespace chestnutport::declarations
