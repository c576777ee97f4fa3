#include "configuration/plan.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "base/encoding.h"
#include "base/text.h"
#include "declarations/tenants_document.h"

namespace chestnutport::configuration {
namespace {

using declarations::DeclarationTexts;

constexpr size_t kHashLength = 24;  // Hexadecimal digits.
constexpr std::string_view kTenants = "tenants";

const std::string* FindText(const DeclarationTexts& texts,
                            const std::string& service) {
  const auto found = texts.find(service);
  return found == texts.end() ? nullptr : &found->second;
}

std::set<std::string> Services(const DeclarationTexts& before,
                               const DeclarationTexts& after) {
  std::set<std::string> services;
  for (const auto& [service, text] : before)
    services.insert(service);
  for (const auto& [service, text] : after)
    services.insert(service);
  return services;
}

// Returns the tenants of changed sections of the tenants' document; none if it
// is added or removed, which affects all.
std::set<std::string> DeclaredTenants(const std::vector<Change>& changes) {
  std::set<std::string> tenants;
  for (const Change& change : changes) {
    if (change.section.starts_with(declarations::kTenantSection))
      tenants.insert(
          change.section.substr(declarations::kTenantSection.size()));
  }
  return tenants;
}

AffectedService MakeAffectedService(const std::string& service,
                                    const std::vector<Change>& changes) {
  if (service == declarations::kTenantsDocument)
    return {service, DeclaredTenants(changes)};
  AffectedService affected{service, {}};
  const bool only_tenants = std::ranges::all_of(
      changes, [](const Change& c) { return c.section == kTenants; });
  if (!only_tenants)
    return affected;
  for (const Change& change : changes)
    affected.tenants.insert(change.key);
  return affected;
}

}  // namespace

Plan MakePlan(const declarations::Configuration& base,
              const DeclarationTexts& wanted) {
  Plan plan{PlanId(base.revision, wanted), base.revision, {}, {}};
  for (const std::string& service : Services(base.texts, wanted)) {
    const std::vector<Change> changes = CompareTexts(
        service, FindText(base.texts, service), FindText(wanted, service));
    if (changes.empty())
      continue;
    plan.affected.push_back(MakeAffectedService(service, changes));
    std::ranges::copy(changes, std::back_inserter(plan.changes));
  }
  return plan;
}

std::string PlanId(uint64_t base_revision, const DeclarationTexts& wanted) {
  std::string all = absl::StrCat(base_revision);
  for (const auto& [name, text] : wanted)
    absl::StrAppend(&all, "\n", name.size(), " ", name, " ", text.size(), "\n",
                    text);
  return absl::StrCat(base_revision, "-",
                      base::Digest(all).substr(0, kHashLength));
}

std::optional<uint64_t> BaseRevision(std::string_view plan_id) {
  uint64_t revision = 0;
  const size_t hyphen = plan_id.find('-');
  if (hyphen == std::string_view::npos ||
      !base::ParseNumber(plan_id.substr(0, hyphen), &revision)) {
    return std::nullopt;
  }
  return revision;
}

}  // namespace chestnutport::configuration
