// The native document that declares tenants, beside the documents of the
// services.
#ifndef DECLARATIONS_TENANTS_DOCUMENT_H_
#define DECLARATIONS_TENANTS_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "declarations/declaration_key.h"
#include "declarations/tenant_account.h"
#include "settings/problem.h"

namespace chestnutport::declarations {

// Name of the document; no service may have it.
inline constexpr std::string_view kTenantsDocument = "tenants";
// Beginning of the names of its sections; the tenant's name follows.
inline constexpr std::string_view kTenantSection = "tenant ";
// Key of a tenant's digests. A line holds two digests; for more, the key may
// have suffixes, as in `key_digests.2`.
inline constexpr std::string_view kKeyDigests = "key_digests";

// Whether `file`, a name or a path, is the document of the tenants.
bool IsTenantsDocument(std::string_view file);

// Returns all keys, in the order of docs/DECLARATIONS.md.
const std::vector<DeclarationKey>& DescribeTenantKeys();

// Parses the tenants in `text`. Unknown keys, and a document without tenants,
// are problems only if `strict`. Problems show no text that could be a key.
std::vector<TenantAccount> ParseTenants(std::string_view file,
                                        std::string_view text,
                                        bool strict,
                                        settings::Problems& problems);

}  // namespace chestnutport::declarations

#endif  // DECLARATIONS_TENANTS_DOCUMENT_H_
