#include "declarations/configuration.h"

#include <algorithm>
#include <utility>

#include "declarations/tenants_document.h"

namespace chestnutport::declarations {

Configuration Configuration::FromTexts(uint64_t revision,
                                       DeclarationTexts texts) {
  Configuration configuration;
  configuration.revision = revision;
  for (const auto& [name, text] : texts) {
    settings::Problems ignored;
    if (name == kTenantsDocument) {
      configuration.tenants =
          TenantDirectory(ParseTenants(name, text, false, ignored));
      continue;
    }
    configuration.services.push_back(ParseService(name, text, false, ignored));
  }
  configuration.texts = std::move(texts);
  return configuration;
}

const ServiceDeclaration* Configuration::FindService(
    std::string_view name) const {
  const auto found =
      std::ranges::find(services, name, &ServiceDeclaration::name);
  return found == services.end() ? nullptr : &*found;
}

const ServiceDeclaration* Configuration::Match(std::string_view host,
                                               std::string_view path) const {
  const ServiceDeclaration* best = nullptr;
  for (const ServiceDeclaration& service : services) {
    if (!service.host.empty() && service.host != host)
      continue;
    if (!path.starts_with(service.path_prefix))
      continue;
    if (!best || service.path_prefix.size() > best->path_prefix.size())
      best = &service;
  }
  return best;
}

}  // namespace chestnutport::declarations
