#include "ingress/caller_request.h"

#include <algorithm>
#include <utility>

#include "base/encoding.h"
#include "base/error_kind.h"
#include "base/text.h"
#include "wire/header_names.h"

namespace chestnutport::ingress {
namespace {

using base::ErrorKind;

// Headers removed from callers' requests: only nodes may set them, or the node
// replaces them.
constexpr const char* kNodeOnlyHeaders[] = {
    wire::kAttemptHeader,     wire::kTargetHeader,
    wire::kServiceHeader,     wire::kSignatureHeader,
    wire::kLoadHeader,        wire::kDeadlineHeader,
    wire::kTargetInHeader,    wire::kMayMoveHeader,
    wire::kMayStopHeader,     wire::kRequestNameHeader,
    wire::kFingerprintHeader, wire::kSuspectHeader,
    wire::kTenantHeader,      wire::kClassHeader,
    wire::kWorkKindHeader,    wire::kDepthHeader,
    wire::kRetryLevelHeader,  wire::kAttemptNumberHeader,
    wire::kKeyAgeHeader,      wire::kServerNoticeHeader,
    wire::kTenantKeyHeader,   "Content-Length"};

constexpr size_t kMaxKeyLength = 200;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<int> ReadLevel(const net::HttpHeaders& headers,
                             const char* name) {
  int level = 0;
  if (!base::ParseNumber(net::FindHeader(headers, name), &level) || level < 0)
    return std::nullopt;
  return level;
}

// Whether a request with this method may be interrupted without harm.
bool IsSafe(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Returns the time until the deadline, or nullopt if the caller's deadline is
// invalid.
std::optional<base::Duration> ReadRemaining(
    const net::HttpHeaders& headers,
    const declarations::ServiceDeclaration& declaration) {
  const std::string_view caller_deadline =
      net::FindHeader(headers, wire::kDeadlineHeader);
  if (caller_deadline.empty())
    return declaration.deadline;
  const auto parsed = base::ParseDuration(caller_deadline);
  if (!parsed || parsed->count() == 0)
    return std::nullopt;
  return std::min(*parsed, declaration.longest_deadline);
}

}  // namespace

base::Result<CallerRequest> ReadCallerRequest(
    const declarations::Configuration& configuration,
    net::HttpRequest request) {
  if (configuration.revision == 0)
    return base::make_error_code(ErrorKind::kConfigurationMissing);
  const std::string_view path = PathOf(request.target);
  const auto* declaration =
      configuration.Match(net::FindHeader(request.headers, "Host"), path);
  if (!declaration)
    return base::make_error_code(ErrorKind::kUnknownService);
  const auto remaining = ReadRemaining(request.headers, *declaration);
  if (!remaining)
    return base::make_error_code(ErrorKind::kInvalidDeadline);
  CallerRequest read;
  read.service = declaration->name;
  read.regions = declaration->regions;
  read.tenant = net::FindHeader(request.headers, wire::kTenantHeader);
  CheckKey(configuration.tenants, declaration->is_public,
           net::FindHeader(request.headers, wire::kTenantKeyHeader), read);
  read.traffic_class = net::FindHeader(request.headers, wire::kClassHeader);
  read.may_stop = IsSafe(request.method);
  read.is_repeatable = declaration->IsRepeatable(request.method, path);
  read.remaining = *remaining;
  if (const auto above = ReadLevel(request.headers, wire::kDepthHeader))
    read.depth = *above + 1;
  read.retry_level = ReadLevel(request.headers, wire::kRetryLevelHeader);
  const std::string_view key =
      net::FindHeader(request.headers, wire::kIdempotencyKeyHeader);
  if (key.size() > kMaxKeyLength)
    return base::make_error_code(ErrorKind::kMalformedRequest);
  if (!read.is_repeatable)
    read.idempotency_key = key;
  read.key_age = base::ParseDuration(
      net::FindHeader(request.headers, wire::kKeyAgeHeader));
  net::RemoveHopByHop(request.headers);
  for (const char* name : kNodeOnlyHeaders)
    net::RemoveHeader(request.headers, name);
  read.http = std::move(request);
  return read;
}

void CheckKey(const declarations::TenantDirectory& tenants,
              bool is_public,
              std::string_view key,
              CallerRequest& request) {
  if (tenants.empty())
    return;
  request.tenant.clear();
  if (is_public)
    return;
  if (key.empty()) {
    request.key_check = KeyCheck::kMissing;
    return;
  }
  const declarations::TenantAccount* account = tenants.FindByKey(key);
  if (!account) {
    request.key_check = KeyCheck::kUnknown;
    return;
  }
  request.key_check = KeyCheck::kKnown;
  request.tenant = account->name;
  request.tenant_account = {account->name, account->urgency, account->rate,
                            account->burst};
}

}  // namespace chestnutport::ingress
