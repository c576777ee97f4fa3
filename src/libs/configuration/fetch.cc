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
    // As text, so that whatever a newer version wrote into it arrives as is.
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
    FetchResponse answer;
    answer.revision = object.at("revision").get<uint64_t>();
    if (!object.contains("head"))
      return answer;
    answer.head = Head::FromJson(object.at("head").get<std::string>());
    if (!answer.head)
      return std::nullopt;
    answer.packed = object.at("packed").get<decltype(answer.packed)>();
    for (const auto& [hash, text] : answer.packed) {
      auto document = UnpackDocument(text);
      if (!document)
        return std::nullopt;
      answer.documents[hash] = *std::move(document);
    }
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

FetchResponse MakeFetchResponse(const FetchRequest& request,
                                const LocalConfiguration& local,
                                PackedDocumentCache& packed) {
  FetchResponse answer{local.head().revision, std::nullopt, {}, {}};
  if (local.head().revision <= request.have)
    return answer;
  answer.head = local.head();
  Manifest known;
  if (request.have != 0)
    known = ManifestAt(local.head(), request.have).value_or(Manifest{});
  for (const auto& [service, hash] : local.head().manifest) {
    const auto before = known.find(service);
    if (before == known.end() || before->second != hash)
      answer.packed[hash] =
          packed.Pack(hash, local.documents().find(hash)->second);
  }
  packed.RetainOnly(local.documents());
  return answer;
}

}  // namespace chestnutport::configuration
