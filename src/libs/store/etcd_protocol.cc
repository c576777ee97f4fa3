#include "store/etcd_protocol.h"

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace chestnutport::store {
namespace {

using base::ErrorKind;
using base::make_error_code;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string Encode(const std::string& text) {
  return absl::Base64Escape(text);
}

std::string Decode(const std::string& text) {
  std::string plain;
  absl::Base64Unescape(text, &plain);
  return plain;
}

// The protocol encodes 64-bit numbers as strings and omits zeros.
int64_t Number(const json& object, const char* name) {
  int64_t number = 0;
  const auto found = object.find(name);
  if (found == object.end())
    return 0;
  if (found->is_string())
    return absl::SimpleAtoi(found->get<std::string>(), &number) ? number : 0;
  return found->is_number_integer() ? found->get<int64_t>() : 0;
}

// Returns the end of the key range with this prefix, exclusive.
std::string PrefixEnd(std::string prefix) {
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

// Returns an empty string if the member is missing or not a string.
std::string Text(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string())
    return "";
  return found->get<std::string>();
}

net::HttpRequest Post(const char* path, const json& body) {
  return {.method = "POST",
          .target = path,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump()};
}

// Returns null if the status is not 200, and a discarded value if the body is
// not JSON.
json Parse(const net::HttpAnswer& answer) {
  if (answer.status != kOk)
    return nullptr;
  return json::parse(answer.body, nullptr, false);
}

}  // namespace

net::HttpRequest EtcdProtocol::List(const std::string& prefix,
                                    const std::string& after,
                                    Freshness freshness) const {
  const std::string from =
      after.empty() ? prefix : absl::StrCat(after, std::string(1, '\0'));
  json body = {{"key", Encode(from)}, {"range_end", Encode(PrefixEnd(prefix))}};
  if (freshness == Freshness::kMayBeStale)
    body["serializable"] = true;
  return Post("/v3/kv/range", body);
}

base::Result<StorePage> EtcdProtocol::ParsePage(
    const net::HttpAnswer& answer) const {
  const json body = Parse(answer);
  if (!body.is_object())
    return make_error_code(ErrorKind::kStoreUnavailable);
  StorePage page;
  if (const auto header = body.find("header"); header != body.end())
    page.as_of = Number(*header, "revision");
  const auto kvs = body.find("kvs");
  if (kvs == body.end())
    return page;
  for (const json& kv : *kvs) {
    if (!kv.is_object())
      return make_error_code(ErrorKind::kStoreUnavailable);
    page.entries.push_back({Decode(Text(kv, "key")), Decode(Text(kv, "value")),
                            Number(kv, "mod_revision"), Number(kv, "lease")});
  }
  return page;
}

net::HttpRequest EtcdProtocol::Read(const std::string& key,
                                    Freshness freshness) const {
  json body = {{"key", Encode(key)}};
  if (freshness == Freshness::kMayBeStale)
    body["serializable"] = true;
  return Post("/v3/kv/range", body);
}

base::Result<StorePage> EtcdProtocol::ParseEntry(
    const net::HttpAnswer& answer) const {
  return ParsePage(answer);
}

net::HttpRequest EtcdProtocol::Swap(const StoreSwap& swap) const {
  const json compare = {{"key", Encode(swap.key)},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", absl::StrCat(swap.expected)}};
  json put = {{"key", Encode(swap.key)}, {"value", Encode(swap.value)}};
  if (swap.lease != 0)
    put["lease"] = absl::StrCat(swap.lease);
  return Post("/v3/kv/txn",
              {{"compare", json::array({compare})},
               {"success", json::array({{{"request_put", put}}})}});
}

base::Result<bool> EtcdProtocol::ParseSwap(
    const net::HttpAnswer& answer) const {
  const json body = Parse(answer);
  if (!body.is_object())
    return make_error_code(ErrorKind::kStoreOutcomeUnknown);
  // The protocol omits false.
  const auto succeeded = body.find("succeeded");
  if (succeeded == body.end())
    return false;
  if (!succeeded->is_boolean())
    return make_error_code(ErrorKind::kStoreOutcomeUnknown);
  return succeeded->get<bool>();
}

int64_t EtcdProtocol::ParseWrittenRevision(
    const net::HttpAnswer& answer) const {
  const json body = Parse(answer);
  if (!body.is_object() || !body.contains("header") ||
      !body["header"].is_object()) {
    return 0;
  }
  return Number(body["header"], "revision");
}

net::HttpRequest EtcdProtocol::Grant(
    std::chrono::milliseconds time_to_live) const {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_to_live);
  return Post("/v3/lease/grant", {{"TTL", absl::StrCat(seconds.count())}});
}

base::Result<LeaseId> EtcdProtocol::ParseGrant(
    const net::HttpAnswer& answer) const {
  const json body = Parse(answer);
  const LeaseId lease = body.is_object() ? Number(body, "ID") : 0;
  if (lease == 0)
    return make_error_code(ErrorKind::kStoreUnavailable);
  return lease;
}

net::HttpRequest EtcdProtocol::KeepAlive(LeaseId lease) const {
  return Post("/v3/lease/keepalive", {{"ID", absl::StrCat(lease)}});
}

base::Result<bool> EtcdProtocol::ParseKeepAlive(
    const net::HttpAnswer& answer) const {
  if (answer.status != kOk)
    return make_error_code(ErrorKind::kStoreUnavailable);
  const json body = Parse(answer);
  return body.is_object() && body.contains("result") &&
         body["result"].is_object() && Number(body["result"], "TTL") > 0;
}

net::HttpRequest EtcdProtocol::EndLease(LeaseId lease) const {
  return Post("/v3/lease/revoke", {{"ID", absl::StrCat(lease)}});
}

base::Result<bool> EtcdProtocol::ParseEndLease(
    const net::HttpAnswer& answer) const {
  if (answer.status == kOk)
    return true;
  if (answer.status == kNotFound)
    return false;
  return make_error_code(ErrorKind::kStoreOutcomeUnknown);
}

net::HttpRequest EtcdProtocol::Watch(const std::string& prefix,
                                     int64_t /*after*/,
                                     std::chrono::milliseconds /*wait*/) const {
  return List(prefix, "", Freshness::kLatest);
}

base::Result<StoreChanges> EtcdProtocol::ParseChanges(
    const net::HttpAnswer& /*answer*/) const {
  return make_error_code(ErrorKind::kStoreUnavailable);
}

}  // namespace chestnutport::store
