#include "declarations/service_declaration.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/text.h"
#include "declarations/tenants_document.h"
#include "settings/ini_document.h"

namespace chestnutport::declarations {
namespace {

using settings::IniDocument;
using settings::IniEntry;

struct Key {
  std::string_view section;
  std::string_view key;
  std::string_view accepted;
  std::function<bool(ServiceDeclaration&, std::string_view)> read;
  std::string_view default_text = "";
  std::string_view help = "";
};

constexpr size_t kMaxNameLength = 64;
// More than any server can handle.
constexpr double kMaxColdRate = 1000000;
constexpr std::string_view kNameAccepted =
    "1 to 64 of a-z, 0-9 and -, but not tenants";
constexpr std::string_view kMemberAccepted =
    "name = a number from 1 to 1000; the name 1 to 64 of letters, digits, "
    "-, _ and .";

bool IsLowerOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool IsServiceName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(
             text, [](char c) { return IsLowerOrDigit(c) || c == '-'; });
}

bool IsMemberName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, [](char c) {
           return IsLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '-' ||
                  c == '_' || c == '.';
         });
}

bool ReadName(ServiceDeclaration& service, std::string_view text) {
  const bool is_valid = IsServiceName(text) && text != kTenantsDocument;
  if (is_valid)
    service.name = text;
  return is_valid;
}

bool ReadHost(ServiceDeclaration& service, std::string_view text) {
  const bool is_valid = !text.empty() && std::ranges::all_of(text, [](char c) {
    return IsLowerOrDigit(c) || c == '-' || c == '.' || c == ':';
  });
  if (is_valid)
    service.host = text;
  return is_valid;
}

bool ReadPathPrefix(ServiceDeclaration& service, std::string_view text) {
  const bool is_valid = text.starts_with('/') &&
                        text.find_first_of(" \t?#") == std::string_view::npos;
  if (is_valid)
    service.path_prefix = text;
  return is_valid;
}

auto Time(base::Duration ServiceDeclaration::*member) {
  return [member](ServiceDeclaration& service, std::string_view text) {
    const auto duration = base::ParseDuration(text);
    if (!duration || *duration > std::chrono::hours(1) ||
        *duration == base::Duration::zero()) {
      return false;
    }
    service.*member = *duration;
    return true;
  };
}

auto Share(double ServiceDeclaration::*member) {
  return [member](ServiceDeclaration& service, std::string_view text) {
    double value = 0;
    if (!text.ends_with('%'))
      return false;
    text.remove_suffix(1);
    if (!base::ParseNumber(text, &value))
      return false;
    service.*member = value / 100;
    return value >= 0 && value <= 100;
  };
}

auto Count(int ServiceDeclaration::*member, int min, int max) {
  return [=](ServiceDeclaration& service, std::string_view text) {
    return base::ParseNumber(text, &(service.*member)) &&
           service.*member >= min && service.*member <= max;
  };
}

bool IsMethod(std::string_view text) {
  return text == "*" || (!text.empty() && std::ranges::all_of(text, [](char c) {
           return c >= 'A' && c <= 'Z';
         }));
}

bool ReadRepeatable(ServiceDeclaration& service, std::string_view text) {
  for (std::string_view rule : base::Split(text, ',')) {
    rule = base::Trim(rule);
    const size_t space = rule.find(' ');
    if (space == std::string_view::npos)
      return false;
    const std::string_view method = rule.substr(0, space);
    const std::string_view path = base::Trim(rule.substr(space));
    if (!IsMethod(method) || !path.starts_with('/') ||
        path.find(' ') != std::string_view::npos) {
      return false;
    }
    service.repeatable.push_back({std::string(method), std::string(path)});
  }
  return true;
}

bool ReadRegions(ServiceDeclaration& service, std::string_view text) {
  for (const std::string_view part : base::Split(text, ',')) {
    const std::string_view region = base::Trim(part);
    if (!IsServiceName(region))
      return false;
    service.regions.emplace_back(region);
  }
  return !service.regions.empty();
}

bool ReadKeyRecord(ServiceDeclaration& service, std::string_view text) {
  service.key_record =
      text == "store" ? KeyRecordLocation::kStore : KeyRecordLocation::kOwner;
  return text == "store" || text == "owner";
}

bool ReadPublic(ServiceDeclaration& service, std::string_view text) {
  service.is_public = text == "yes";
  return text == "yes" || text == "no";
}

bool ReadColdRate(ServiceDeclaration& service, std::string_view text) {
  return base::ParseNumber(text, &service.cold_rate) &&
         service.cold_rate >= 0 && service.cold_rate <= kMaxColdRate;
}

const std::vector<Key>& AllKeys() {
  static const std::vector<Key> keys = {
      {"service", "name", kNameAccepted, ReadName, "", "Name of the service."},
      {"match", "host", "a host name in small letters", ReadHost, "any",
       "Requests with this Host header."},
      {"match", "path_prefix", "the beginning of a path, such as /dossie/",
       ReadPathPrefix, "any", "Requests whose path begins so."},
      {"requests", "repeatable", "METHOD /path, ... with * for any method",
       ReadRepeatable, "none",
       "Requests that may be run twice: sent again, or hedged."},
      {"requests", "regions", "names of regions, separated by commas",
       ReadRegions, "any", "Where requests may run, and their bodies be sent."},
      {"requests", "public", "yes or no", ReadPublic, "no",
       "Whether requests need no tenant's key."},
      {"requests", "deadline", "a duration up to 1h, such as 2s",
       Time(&ServiceDeclaration::deadline), "10s",
       "Deadline of a request that brings none."},
      {"requests", "longest_deadline", "a duration up to 1h, such as 60s",
       Time(&ServiceDeclaration::longest_deadline), "60s",
       "Longest deadline that a caller may ask for."},
      {"requests", "retry_budget", "a percentage, such as 10%",
       Share(&ServiceDeclaration::retry_budget), "10%",
       "Requests sent again, as a share of all."},
      {"requests", "hedge_budget", "a percentage, such as 2%",
       Share(&ServiceDeclaration::hedge_budget), "2%",
       "Requests sent to a second server while the first is slow."},
      {"requests", "key_record", "owner or store", ReadKeyRecord, "owner",
       "Where idempotency keys are recorded."},
      {"servers", "slots", "1 to 10000",
       Count(&ServiceDeclaration::slots, 1, 10000), "12",
       "Requests that a server runs at a time."},
      {"servers", "queue", "0 to 100000",
       Count(&ServiceDeclaration::queue, 0, 100000), "24",
       "Requests that may wait for one server."},
      {"servers", "probe_budget", "a percentage, such as 0.5%",
       Share(&ServiceDeclaration::probe_budget), "0.5%",
       "Server's time that may be spent on probes."},
      {"servers", "drain_grace", "a duration up to 1h, such as 30s",
       Time(&ServiceDeclaration::drain_grace), "30s",
       "Longest wait for requests in flight when a server leaves."},
      {"servers", "cold_start", "a duration up to 1h, such as 10s",
       Time(&ServiceDeclaration::cold_start), "10s",
       "Time over which a new server is given its full share."},
      {"servers", "cold_rate", "0 to 1000000, requests a second", ReadColdRate,
       "0", "What a cold server tolerates; 0: as much as a warm one."},
  };
  return keys;
}

bool ReadMember(ServiceDeclaration& service, const IniEntry& entry) {
  int number = 0;
  if (!IsMemberName(entry.key) || !base::ParseNumber(entry.value, &number) ||
      number < 1 || number > 1000) {
    return false;
  }
  if (entry.section == "classes")
    service.classes.push_back({entry.key, number});
  else
    service.tenants.push_back({entry.key, number});
  return true;
}

void ReadEntry(ServiceDeclaration& service,
               const IniDocument& document,
               const IniEntry& entry,
               bool strict,
               settings::Problems& problems) {
  const auto report = [&](std::string_view accepted) {
    problems.push_back({document.file, entry.line, entry.section, entry.key,
                        entry.value, std::string(accepted)});
  };
  if (entry.section == "classes" || entry.section == "tenants") {
    if (!ReadMember(service, entry))
      report(kMemberAccepted);
    return;
  }
  const auto found = std::ranges::find_if(AllKeys(), [&](const Key& key) {
    return key.section == entry.section && key.key == entry.key;
  });
  if (found == AllKeys().end()) {
    if (strict)
      report("a known key; see docs/DECLARATIONS.md");
    return;
  }
  if (!found->read(service, entry.value))
    report(found->accepted);
}

}  // namespace

const std::vector<DeclarationKey>& DescribeDeclarationKeys() {
  static const std::vector<DeclarationKey> descriptions = [] {
    std::vector<DeclarationKey> all;
    for (const Key& key : AllKeys()) {
      all.push_back(
          {key.section, key.key, key.accepted, key.default_text, key.help});
    }
    all.push_back({"classes", "NAME", kMemberAccepted, "none",
                   "A class of requests; the lower number goes first."});
    all.push_back({"tenants", "NAME", kMemberAccepted, "any tenant",
                   "A tenant, and its share when servers are short."});
    return all;
  }();
  return descriptions;
}

bool ServiceDeclaration::IsRepeatable(std::string_view method,
                                      std::string_view path) const {
  return std::ranges::any_of(repeatable, [&](const RepeatableRule& rule) {
    return (rule.method == "*" || rule.method == method) &&
           path.starts_with(rule.path_prefix);
  });
}

ServiceDeclaration ParseService(std::string_view file,
                                std::string_view text,
                                bool strict,
                                settings::Problems& problems) {
  ServiceDeclaration service;
  const IniDocument document = IniDocument::Parse(file, text, problems);
  for (const IniEntry& entry : document.entries)
    ReadEntry(service, document, entry, strict, problems);
  const auto is_given = [&](std::string_view section, std::string_view key) {
    return std::ranges::any_of(document.entries, [&](const IniEntry& entry) {
      return entry.section == section && entry.key == key;
    });
  };
  if (!is_given("service", "name")) {
    problems.push_back({document.file, 0, "service", "name", "(missing)",
                        std::string(kNameAccepted)});
  }
  if (!is_given("match", "path_prefix") && !is_given("match", "host")) {
    problems.push_back({document.file, 0, "match", "path_prefix", "(missing)",
                        "a host, a path_prefix or both"});
  }
  return service;
}

}  // namespace chestnutport::declarations
