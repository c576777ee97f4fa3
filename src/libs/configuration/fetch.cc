#include "configuration/fetch.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chestnutport::configuration {
namespace {

using nlohmann::json;

}  // namespace

std::string FetchRequest::ToJson() const {
  return json{{"have", have}}.dump();
}

std::optional<FetchRequest> FetchRequest::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  const auto have = object.find("have");
  if (have == object.end() || !have->is_number_unsigned())
    return std::nullopt;
  return FetchRequest{have->get<uint64_t>()};
}

std::string FetchResponse::ToJson() const {
  json object = {{"revision", revision}};
  if (head) {
    // Embedded as a string, so that fields added by a newer version arrive
    // unchanged.
    object["head"] = head->ToJson();
    object["packed"] = packed;
  }
  return object.dump();
}

std::optional<FetchResponse> FetchResponse::FromJson(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  try {
    FetchResponse response;
    response.revision = object.at("revision").get<uint64_t>();
    if (!object.contains("head"))
      return response;
    response.head = Head::FromJson(object.at("head").get<std::string>());
    if (!response.head)
      return std::nullopt;
    response.packed = object.at("packed").get<decltype(response.packed)>();
    for (const auto& [hash, text] : response.packed) {
      auto document = UnpackDocument(text);
      if (!document)
        return std::nullopt;
      response.documents[hash] = *std::move(document);
    }
    return response;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

FetchResponse MakeFetchResponse(const FetchRequest& request,
                                const LocalConfiguration& local,
                                PackedDocumentCache& packed) {
  FetchResponse response{local.head().revision, std::nullopt, {}, {}};
  if (local.head().revision <= request.have)
    return response;
  response.head = local.head();
  Manifest known;
  if (request.have != 0)
    known = ManifestAt(local.head(), request.have).value_or(Manifest{});
  for (const auto& [service, hash] : local.head().manifest) {
    const auto before = known.find(service);
    if (before == known.end() || before->second != hash)
      response.packed[hash] =
          packed.Pack(hash, local.documents().find(hash)->second);
  }
  packed.RetainOnly(local.documents());
  return response;
}

}  // namespace chestnutport::configuration
